/**
 * State of one request inside the engine.
 *
 * @packageDocumentation
 */
import {
  combineVerdicts,
  hashText,
  type InstantMs,
  type Verdict,
} from '../core/index.js';
import type {QueuedRequest} from '../limits/index.js';
import type {KindPreset} from '../preset/index.js';
import type {Attempt} from '../retries/index.js';
import type {ServiceSnapshot} from './service_snapshot.js';
import type {ServiceState} from './service_state.js';
import type {CallerRequest} from './types.js';

/**
 * Claim of a request:
 * - `pending`: asked, no answer yet
 * - `granted`: the request may run
 * - `unknown`: no answer came, it may have been granted
 * - `denied`: the home VM keeps no claim of this request
 * - `settled`: the verdict was sent to the home VM
 */
export type ClaimState =
  'pending' | 'granted' | 'unknown' | 'denied' | 'settled';

/** Claim of a non-idempotent request with a key. */
export interface ActiveClaim {
  readonly token: string;
  readonly homeVmId: string;
  state: ClaimState;
}

/**
 * One request from its arrival until its last attempt and claim are closed.
 *
 * @internal
 */
export class ActiveRequest implements QueuedRequest {
  readonly caller: CallerRequest;
  readonly service: ServiceState;
  readonly snapshot: ServiceSnapshot;
  readonly kind: KindPreset;
  readonly queuedMs: InstantMs;
  readonly deadlineMs: InstantMs;
  readonly estimatedMs: number;
  /** Identity of the request for the crash quarantine. */
  readonly crashFingerprint: string;
  /** Verdicts of the attempts that ended. */
  readonly verdicts: Verdict[] = [];
  /** Targets that failed this request. */
  readonly failedTargetIds: string[] = [];
  attempt: Attempt | undefined;
  claim: ActiveClaim | undefined;
  /** True once the home VM has granted a claim. */
  claimGranted = false;
  /** True once the caller was answered or has gone. */
  isClosedToCaller = false;

  constructor(options: {
    readonly caller: CallerRequest;
    readonly service: ServiceState;
    readonly snapshot: ServiceSnapshot;
    readonly kind: KindPreset;
    readonly nowMs: InstantMs;
    readonly deadlineMs: InstantMs;
  }) {
    this.caller = options.caller;
    this.service = options.service;
    this.snapshot = options.snapshot;
    this.kind = options.kind;
    this.queuedMs = options.nowMs;
    this.deadlineMs = options.deadlineMs;
    this.estimatedMs = options.service.estimateMs(options.kind, options.nowMs);
    this.crashFingerprint = crashFingerprintOf(options.caller);
  }

  get urgent(): boolean {
    return this.kind.urgent;
  }

  get worth(): number {
    return this.kind.worth;
  }

  /** True if the request may run only after its home VM granted a claim. */
  get needsClaim(): boolean {
    return !this.kind.idempotent && this.caller.idempotencyKey !== undefined;
  }

  /** True for kinds that run only on the subset for long kinds. */
  get usesLongLane(): boolean {
    return this.kind.long && !this.kind.urgent;
  }

  /** Verdict on the attempts of this VM. */
  get verdict(): Verdict {
    const current = this.attempt === undefined ? [] : [this.attempt.verdict];
    return combineVerdicts([...this.verdicts, ...current]);
  }

  /**
   * True while an earlier copy may have run: the caller does not say that this
   * is the first one, and the home VM has not granted a claim.
   */
  get isUnverifiedCopy(): boolean {
    return this.needsClaim && this.caller.attempt !== 1 && !this.claimGranted;
  }
}

/**
 * Names a request for the crash quarantine: its key, hashed to bound the size
 * of the fact that peers share, else the hash of method, path and body.
 */
function crashFingerprintOf(caller: CallerRequest): string {
  return caller.idempotencyKey === undefined
    ? caller.fingerprint
    : hashText(`key\u0000${caller.idempotencyKey}`);
}
