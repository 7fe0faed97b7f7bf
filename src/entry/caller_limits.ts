/**
 * Limits for callers from published bounds.
 *
 * @packageDocumentation
 */
import {
  DEFAULT_CALLER_LIMITS,
  type CallerLimits,
} from '../caller_http/index.js';
import type {CallerBounds} from '../routes/index.js';

/** Larger bodies do not fit into the memory of an entry VM. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Greatest size of a head; fixed when the port is opened. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Limits before anything is published. */
export const START_LIMITS: CallerLimits = {
  ...DEFAULT_CALLER_LIMITS,
  maxHeadBytes: MAX_HEAD_BYTES,
  maxBodyBytes: MAX_BODY_BYTES,
};

/**
 * Derives the limits.
 *
 * @param bounds - bounds that operators publish
 * @returns limits for the caller port
 */
export function callerLimitsOf(bounds: CallerBounds): CallerLimits {
  return {
    ...START_LIMITS,
    maxBodyBytes: Math.min(bounds.maxBodyBytes, MAX_BODY_BYTES),
    headTimeoutMs: bounds.headTimeoutMs,
    idleTimeoutMs: bounds.idleTimeoutMs,
  };
}
