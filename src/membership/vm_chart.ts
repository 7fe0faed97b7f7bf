/**
 * Lifecycle of a member, compiled from `vm.json`.
 *
 * @packageDocumentation
 */
import {compileChart, type ChartFile} from '../charts/index.js';
import type {MemberState} from './types.js';
import file from './vm.json' with {type: 'json'};

/** State that an owner announces of itself. */
export type AnnouncedState = 'starting' | 'ready' | 'leaving';

/** Events of the chart. */
export type VmEvent =
  `heard-${AnnouncedState}` | 'silent' | 'expired' | 'replaced';

/** Compiled chart of a member. */
export const VM_CHART = compileChart<MemberState, VmEvent>(
  file as ChartFile<MemberState, VmEvent>,
);
