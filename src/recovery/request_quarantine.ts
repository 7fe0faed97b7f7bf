/**
 * Recognition of requests that crash targets.
 *
 * A caller may send such a request again from another address, or with another
 * query. So a request has two fingerprints: an exact one, and one of its
 * resource, which leaves out the caller's address and the query. Different
 * callers share a resource, and some of their requests are in flight whenever
 * several targets fail together. So a resource that targets answer is never
 * quarantined, only the exact requests for it.
 *
 * @packageDocumentation
 */
import {hashText, type InstantMs} from '../core/index.js';
import type {CrashQuarantine} from './types.js';

/** Time for which an answer protects a resource, in milliseconds. */
const ANSWERED_TTL_MS = 60_000;

/** Most answered resources that are stored; the oldest are dropped first. */
const MAX_ANSWERED_COUNT = 10_000;

/** What distinguishes a request from others. */
export interface RequestIdentity {
  readonly callerAddress: string;
  /** HTTP method in upper case. */
  readonly method: string;
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  /** Hash of the body; empty without a body. */
  readonly bodyHash: string;
}

/** Hashes by which copies of a request are recognised. */
export interface RequestFingerprints {
  /** Hash of caller, method, host, path with query, and body. */
  readonly fingerprint: string;
  /** Hash of method, host, path without query, and body. */
  readonly resourceFingerprint: string;
}

/**
 * Computes the fingerprints of a request.
 *
 * @param identity - what distinguishes the request
 * @returns fingerprints; those of copies are equal on all VMs
 */
export function fingerprintsOf(identity: RequestIdentity): RequestFingerprints {
  const {callerAddress, method, host, path, bodyHash} = identity;
  const [pathOnly = path] = path.split('?', 1);
  return {
    fingerprint: hashText(
      `${callerAddress} ${method} ${host}${path}\n${bodyHash}`,
    ),
    resourceFingerprint: hashText(`${method} ${host}${pathOnly}\n${bodyHash}`),
  };
}

/**
 * Applies a {@link CrashQuarantine} to both fingerprints of a request.
 *
 * @example
 * ```ts
 * requests.onCrash('t-01', request, nowMs);
 * requests.isQuarantined(request, nowMs); // false until further targets crash
 * ```
 */
export class RequestQuarantine {
  private readonly answeredUntilMs = new Map<string, InstantMs>();

  /** @param quarantine - fingerprints implicated at this VM and its peers */
  constructor(private readonly quarantine: CrashQuarantine) {}

  /**
   * Implicates a request that was in flight when a target was lost.
   *
   * @param targetId - lost target
   * @param request - fingerprints of the request
   * @param nowMs - current instant in milliseconds
   * @returns number of targets whose loss implicates the request
   */
  onCrash(
    targetId: string,
    request: RequestFingerprints,
    nowMs: InstantMs,
  ): number {
    const {quarantine} = this;
    const {fingerprint, resourceFingerprint} = request;
    const fingerprints = [fingerprint];
    const isProtected = this.wasAnswered(resourceFingerprint, nowMs);
    if (resourceFingerprint !== fingerprint && !isProtected) {
      fingerprints.push(resourceFingerprint);
    }
    quarantine.onCrash(targetId, fingerprints, nowMs);
    const counts = fingerprints.map(each =>
      quarantine.crashedTargetCount(each, nowMs),
    );
    return Math.max(...counts);
  }

  /**
   * Clears a request after a complete response from a target.
   *
   * @param request - fingerprints of the request
   * @param nowMs - current instant in milliseconds
   * @returns true if it was implicated
   */
  onAnswered(request: RequestFingerprints, nowMs: InstantMs): boolean {
    const {quarantine} = this;
    const {fingerprint, resourceFingerprint} = request;
    this.answeredUntilMs.delete(resourceFingerprint);
    this.answeredUntilMs.set(resourceFingerprint, nowMs + ANSWERED_TTL_MS);
    if (this.answeredUntilMs.size > MAX_ANSWERED_COUNT) {
      const [oldest = ''] = this.answeredUntilMs.keys();
      this.answeredUntilMs.delete(oldest);
    }
    const isCleared = quarantine.onAnswered(fingerprint, nowMs);
    return quarantine.onAnswered(resourceFingerprint, nowMs) || isCleared;
  }

  /**
   * Returns whether the request must not be sent to any target.
   *
   * @param request - fingerprints of the request
   * @param nowMs - current instant in milliseconds
   */
  isQuarantined(request: RequestFingerprints, nowMs: InstantMs): boolean {
    const {quarantine} = this;
    const {fingerprint, resourceFingerprint} = request;
    return (
      quarantine.isQuarantined(fingerprint, nowMs) ||
      (quarantine.isQuarantined(resourceFingerprint, nowMs) &&
        !this.wasAnswered(resourceFingerprint, nowMs))
    );
  }

  /**
   * Returns whether the request was in flight at the loss of a target.
   *
   * @param request - fingerprints of the request
   * @param nowMs - current instant in milliseconds
   */
  isImplicated(request: RequestFingerprints, nowMs: InstantMs): boolean {
    const {quarantine} = this;
    const {fingerprint, resourceFingerprint} = request;
    return (
      quarantine.isImplicated(fingerprint, nowMs) ||
      (quarantine.isImplicated(resourceFingerprint, nowMs) &&
        !this.wasAnswered(resourceFingerprint, nowMs))
    );
  }

  private wasAnswered(resourceFingerprint: string, nowMs: InstantMs): boolean {
    const untilMs = this.answeredUntilMs.get(resourceFingerprint);
    return untilMs !== undefined && nowMs < untilMs;
  }
}
