/**
 * Options of the delivery engine.
 *
 * @packageDocumentation
 */
import type {AdmissionPolicy} from '../admission/index.js';
import type {InstantMs, RandomSource} from '../core/index.js';
import type {
  ColdAllowance,
  RequestGrants,
  TargetLimits,
} from '../limits/index.js';
import type {LoadBoard} from '../load/index.js';
import type {CrashQuarantine} from '../recovery/index.js';
import type {RelayPolicy} from '../relay/index.js';
import type {WindowLimit} from '../retries/index.js';

/** Dependencies and limits of a `DeliveryEngine`. */
export interface DeliveryEngineOptions {
  readonly board: LoadBoard;
  readonly quarantine: CrashQuarantine;
  readonly random: RandomSource;
  readonly resendLimit: WindowLimit;
  readonly targetLimits: TargetLimits;
  readonly grants: RequestGrants;
  readonly relays: RelayPolicy;
  /** Share of this VM in what cold targets take; no limit by default. */
  readonly coldAllowance?: ColdAllowance;
  /** Returns an upper bound of the number of VMs. */
  readonly fleetSize: (nowMs: InstantMs) => number;
  /** Takes all probes from the probe budget, or none and returns false. */
  readonly takeProbes: (count: number, nowMs: InstantMs) => boolean;
  /** Order of requests that compete; by their cost to callers by default. */
  readonly admission?: AdmissionPolicy;
}
