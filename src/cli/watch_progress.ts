/**
 * How far a published document has come. Pure.
 *
 * @packageDocumentation
 */
import {
  compareVersions,
  type DocumentVersion,
  type VmStatus,
} from '../preset/index.js';

/** The document that an operator published. */
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
  /** An older document is in force; the new one may still come. */
  | 'waiting'
  /** Another document with the same revision is in force. */
  | 'rival'
  /** The document lost for good: a later one is in force. */
  | 'lost'
  /** The VM refused the document. */
  | 'refused';

/** State at one VM with an explanation. */
export interface VmWatchState {
  readonly vmId: string;
  readonly state: WatchState;
  readonly text: string;
}

/**
 * Judges the status of one VM.
 *
 * A rival may still be replaced by the watched document if that was published
 * later. It is known to have lost when the VM lists it as superseded, or when
 * its platform version is given and lower.
 *
 * @param watched - the published document
 * @param status - status of the VM
 * @returns the state at this VM
 *
 * @example
 * ```ts
 * const {state} = judgeVm(watched, status); // 'in-force'
 * ```
 */
export function judgeVm(
  watched: WatchedDocument,
  status: VmStatus,
): VmWatchState {
  const {vmId} = status;
  const {config} = status.documents;
  const isWatched = (version: DocumentVersion): boolean =>
    version.sha256 === watched.sha256 && version.revision === watched.revision;
  const judged = (state: WatchState, text: string): VmWatchState => ({
    vmId,
    state,
    text,
  });
  if (config.sha256 === watched.sha256) {
    return judged('in-force', `${config.inForce} is in force`);
  }
  const refusal = config.refused.find(isWatched);
  if (refusal !== undefined) {
    return judged('refused', `refused: ${refusal.reason}`);
  }
  const {revision, platformVersion, sha256} = config;
  if (revision === null || platformVersion === null || sha256 === null) {
    return judged('waiting', 'has no document yet');
  }
  const other = {revision, platformVersion, sha256};
  const name = `revision ${revision}, platform version ${platformVersion}, hash ${sha256}`;
  if (revision > watched.revision) {
    return judged('lost', `a later document won: ${name}`);
  }
  if (revision < watched.revision) {
    return judged('waiting', `still has ${name}`);
  }
  const isLater =
    config.superseded.some(isWatched) ||
    (watched.platformVersion !== undefined &&
      compareVersions(other, {
        ...watched,
        platformVersion: watched.platformVersion,
      }) > 0);
  return isLater
    ? judged('lost', `another publication of this revision won: ${name}`)
    : judged('rival', `has another publication of this revision: ${name}`);
}
