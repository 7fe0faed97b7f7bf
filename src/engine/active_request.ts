/**
 * State of one request in the engine.
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
import type {RequestFingerprints} from '../recovery/index.js';
import type {Attempt} from '../retries/index.js';
import type {ServiceSnapshot} from './service_snapshot.js';
import type {ServiceState} from './service_state.js';
import type {CallerRequest} from './types.js';

/**
 * State of a claim:
 * - `pending`: sent to the home VM, no reply yet
 * - `granted`: the request may run
 * - `unknown`: no reply arrived; the claim may have been granted
 * - `denied`: the home VM holds no claim for this request
 * - `settled`: the verdict was sent to the home VM
 */
export type ClaimState =
  'pending' | 'granted' | 'unknown' | 'denied' | 'settled';

/** Claim of a non-idempotent request with an idempotency key. */
export interface ActiveClaim {
  readonly token: string;
  readonly homeVmId: string;
  state: ClaimState;
}

/**
 * Request in progress, from its arrival until its caller was answered or has
 * disconnected and its last attempt and claim have ended.
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
  /** Identifies the request in the crash quarantine. */
  readonly crashFingerprints: RequestFingerprints;
  /** Verdicts of the attempts that have ended. */
  readonly verdicts: Verdict[] = [];
  /** Targets at which an attempt of this request failed. */
  readonly failedTargetIds: string[] = [];
  /** Targets that could not be reached. */
  unreachableCount = 0;
  /** Peers that have refused the request or could not be reached. */
  readonly triedPeers: string[] = [];
  attempt: Attempt | undefined;
  /** Peer of the current attempt; undefined while it is at a target. */
  attemptPeer: string | undefined;
  claim: ActiveClaim | undefined;
  /** True once the home VM has granted a claim. */
  claimGranted = false;
  /** True once the caller was answered or has disconnected. */
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
    this.crashFingerprints = crashFingerprintsOf(options.caller);
  }

  get urgent(): boolean {
    return this.kind.urgent;
  }

  get worth(): number {
    return this.kind.worth;
  }

  /** True if the request may run only after its home VM grants a claim. */
  get needsClaim(): boolean {
    const {idempotencyKey, isRelayed} = this.caller;
    const hasKey = idempotencyKey !== undefined && isRelayed !== true;
    return !this.kind.idempotent && hasKey;
  }

  /** True if the request may run only on the long lane. */
  get usesLongLane(): boolean {
    return this.kind.long && !this.kind.urgent;
  }

  /** Combined verdict on the attempts of this VM. */
  get verdict(): Verdict {
    const current = this.attempt === undefined ? [] : [this.attempt.verdict];
    return combineVerdicts([...this.verdicts, ...current]);
  }

  /**
   * True while an earlier copy may have run: the caller did not mark this copy
   * as its first attempt, and the home VM has not granted a claim.
   */
  get isUnverifiedCopy(): boolean {
    return this.needsClaim && this.caller.attempt !== 1 && !this.claimGranted;
  }
}

/**
 * Returns the fingerprints of a request for the crash quarantine: the hash of
 * its idempotency key, which bounds the size of the gossiped fact, or else those
 * of its method, path and body.
 */
function crashFingerprintsOf(caller: CallerRequest): RequestFingerprints {
  const {idempotencyKey, fingerprint, resourceFingerprint} = caller;
  if (idempotencyKey === undefined) {
    return {fingerprint, resourceFingerprint};
  }
  const keyHash = hashText(`key\u0000${idempotencyKey}`);
  return {fingerprint: keyHash, resourceFingerprint: keyHash};
}
