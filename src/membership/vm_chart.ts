/**
 * State chart of a member's lifecycle, compiled from `vm.json`.
 *
 * @packageDocumentation
 */
import {compileChart, type ChartFile} from '../charts/index.js';
import type {MemberState} from './types.js';
import file from './vm.json' with {type: 'json'};

/** Lifecycle state that a VM announces. */
export type AnnouncedState = 'starting' | 'ready' | 'leaving';

/** Events of the member chart. */
export type VmEvent =
  `heard-${AnnouncedState}` | 'silent' | 'expired' | 'replaced';

/** Compiled state chart of a member. */
export const VM_CHART = compileChart<MemberState, VmEvent>(
  file as ChartFile<MemberState, VmEvent>,
);
