/**
 * Rollout state of a published document.
 *
 * @packageDocumentation
 */
import {
  compareVersions,
  type DocumentVersion,
  type VmStatus,
} from '../preset/index.js';

/** Document that an operator published. */
export interface WatchedDocument {
  readonly revision: number;
  readonly sha256: string;
  /** Version that the platform assigned; undefined if unknown. */
  readonly platformVersion: number | undefined;
}

/** State of the document at one VM. */
export type WatchState =
  /** The document is in force. */
  | 'in-force'
  /** An older document or none is in force; the new one may still arrive. */
  | 'waiting'
  /** Another document with the same revision is in force. */
  | 'rival'
  /** A later document is in force; this one can no longer replace it. */
  | 'lost'
  /** The VM refused the document. */
  | 'refused';

/** State of the document at one VM, with an explanation. */
export interface VmWatchState {
  readonly vmId: string;
  readonly state: WatchState;
  readonly text: string;
}

/**
 * Returns the rollout state of a document at one VM.
 *
 * A rival may still be replaced by the watched document if the latter was
 * published later. The watched document has lost if the VM lists it as
 * superseded or if its platform version is known and lower.
 *
 * @param watched - the published document
 * @param status - status of the VM
 * @returns the state with an explanation
 *
 * @example
 * ```ts
 * const {state} = evaluateVm(watched, status); // 'in-force'
 * ```
 */
export function evaluateVm(
  watched: WatchedDocument,
  status: VmStatus,
): VmWatchState {
  const {vmId} = status;
  const {config} = status.documents;
  const isWatched = (version: DocumentVersion): boolean =>
    version.sha256 === watched.sha256 && version.revision === watched.revision;
  const withState = (state: WatchState, text: string): VmWatchState => ({
    vmId,
    state,
    text,
  });
  if (config.sha256 === watched.sha256) {
    return withState('in-force', `${config.inForce} is in force`);
  }
  const refusal = config.refused.find(isWatched);
  if (refusal !== undefined) {
    return withState('refused', `refused: ${refusal.reason}`);
  }
  const {revision, platformVersion, sha256} = config;
  if (revision === null || platformVersion === null || sha256 === null) {
    return withState('waiting', 'has no document yet');
  }
  // An operator names the version of a publication, which is of the same era.
  const platformEra = config.platformEra ?? 0;
  const other = {revision, platformVersion, platformEra, sha256};
  const name = `revision ${revision}, platform version ${platformVersion}, hash ${sha256}`;
  if (revision > watched.revision) {
    return withState('lost', `a later document won: ${name}`);
  }
  if (revision < watched.revision) {
    return withState('waiting', `still has ${name}`);
  }
  const isLater =
    config.superseded.some(isWatched) ||
    (watched.platformVersion !== undefined &&
      compareVersions(other, {
        ...watched,
        platformVersion: watched.platformVersion,
        platformEra,
      }) > 0);
  return isLater
    ? withState('lost', `another publication of this revision won: ${name}`)
    : withState('rival', `has another publication of this revision: ${name}`);
}
