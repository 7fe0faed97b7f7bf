/**
 * Claims of non-idempotent requests, and quarantine of requests that crash
 * targets.
 *
 * @packageDocumentation
 */
export * from './types.js';
export {
  FingerprintQuarantine,
  IMPLICATION_TTL_MS,
  type FingerprintQuarantineOptions,
} from './fingerprint_quarantine.js';
export {HomeVm, type HandOverPlan, type HomeVmOptions} from './home_vm.js';
export {
  RequestQuarantine,
  fingerprintsOf,
  type RequestFingerprints,
  type RequestIdentity,
} from './request_quarantine.js';
export {
  KeyedClaimTable,
  RESEND_WINDOW_MS,
  RETENTION_MS,
  SETTLE_GRACE_MS,
  type KeyedClaimTableOptions,
} from './keyed_claim_table.js';
