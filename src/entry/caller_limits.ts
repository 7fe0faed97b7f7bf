/**
 * Caller limits derived from the published configuration.
 *
 * @packageDocumentation
 */
import {
  DEFAULT_CALLER_LIMITS,
  type CallerLimits,
} from '../caller_http/index.js';
import type {CallerBounds} from '../routes/index.js';

/**
 * Largest request body in bytes on any VM; small ones hold less
 * (`MemoryBudget.maxBodyBytes`).
 */
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Largest header section in bytes; fixed when the port is opened. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Limits that apply until a configuration is published. */
export const INITIAL_LIMITS: CallerLimits = {
  ...DEFAULT_CALLER_LIMITS,
  maxHeadBytes: MAX_HEAD_BYTES,
  maxBodyBytes: MAX_BODY_BYTES,
};

/** Limits that follow from the machine of a VM. */
export interface MachineLimits {
  /** Connections of callers that the process keeps. */
  readonly maxConnections: number;
  /** Largest body that the process can hold. */
  readonly maxBodyBytes: number;
}

/**
 * Derives caller limits from published bounds, capped by this VM's own limits.
 *
 * @param bounds - bounds of the published configuration
 * @param machine - what the machine of this VM allows
 * @returns limits for the caller port
 */
export function deriveCallerLimits(
  bounds: CallerBounds,
  {maxConnections, maxBodyBytes}: MachineLimits,
): CallerLimits {
  return {
    ...INITIAL_LIMITS,
    maxConnections,
    maxBodyBytes: Math.min(bounds.maxBodyBytes, maxBodyBytes, MAX_BODY_BYTES),
    headTimeoutMs: bounds.headTimeoutMs,
    idleTimeoutMs: bounds.idleTimeoutMs,
  };
}
