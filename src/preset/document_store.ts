/**
 * Store of the newest valid version of one document in one VM.
 *
 * The store keeps the greatest valid version received from any source. The
 * maximum depends neither on the order nor on the number of offers, so all VMs
 * that received the same versions converge on the same one, and none reverts.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import {compileChart} from '../charts/index.js';
import type {InstantMs} from '../core/index.js';
import adoptionFile from './adoption.json' with {type: 'json'};
import {
  formatIssue,
  type DocumentError,
  type InputIssue,
} from './input_issue.js';
import {parseConfigDocument} from './parse_config.js';
import {parseVmListDocument} from './parse_vms.js';
import {VmListHistory} from './restored_vm_list.js';
import type {DocumentStatus, RefusedVersion} from './status_types.js';
import type {
  ConfigDocument,
  DocumentName,
  DocumentVersion,
  PublishedDocument,
  VmListDocument,
} from './types.js';
import {compareVersions, hashBody} from './version.js';

/** Maximum number of versions in each list of the status page. */
const MAX_LISTED_VERSIONS = 16;

/** Maximum issues in the reason of a refusal; `preset validate` lists all. */
const MAX_ISSUES_IN_REASON = 3;

/** States of a document version in one VM. */
export type AdoptionState =
  'offered' | 'adopted' | 'replaced' | 'superseded' | 'refused' | 'ignored';

/** Events of a document version in one VM. */
export type AdoptionEvent =
  | 'invalid'
  | 'revision-not-raised'
  | 'older'
  | 'older-same-revision'
  | 'greatest'
  | 'newer-revision'
  | 'newer-same-revision';

const chart = compileChart<AdoptionState, AdoptionEvent>(
  adoptionFile as Parameters<
    typeof compileChart<AdoptionState, AdoptionEvent>
  >[0],
);

/** The document that a VM currently uses. */
export interface AdoptedDocument<T> {
  readonly published: PublishedDocument;
  readonly document: T;
  /** Local instant of the adoption. */
  readonly adoptedMs: InstantMs;
}

/** Outcome of an offered document. */
export type OfferOutcome<T> =
  | {
      readonly type: 'adopted';
      readonly adopted: AdoptedDocument<T>;
      /** Version in use before; undefined for the first one. */
      readonly previous: DocumentVersion | undefined;
      /** State of the previous version; undefined for the first one. */
      readonly previousState: 'replaced' | 'superseded' | undefined;
    }
  /** The version is in use already. */
  | {readonly type: 'unchanged'}
  /** Older than the version in use, such as a stale response. */
  | {readonly type: 'ignored'}
  /** Less than the version in use, which has the same revision. */
  | {readonly type: 'superseded'; readonly by: DocumentVersion}
  | {
      readonly type: 'refused';
      readonly version: DocumentVersion;
      readonly reason: string;
      readonly issues: readonly InputIssue[];
    };

/**
 * Holds the newest valid version of one document. Pure.
 *
 * @example
 * ```ts
 * const store = createConfigStore();
 * const outcome = store.offer(published, clock.nowMs());
 * if (outcome.type === 'adopted') {
 *   applyDocument(outcome.adopted.document);
 * }
 * ```
 */
export class DocumentStore<T> {
  private current: AdoptedDocument<T> | undefined;
  private refused: readonly RefusedVersion[] = [];
  private superseded: readonly DocumentVersion[] = [];

  /**
   * @param options - `name`: name of the document; `parse`: parser of its body;
   *     `revisionOf`: reads the revision of a parsed document; `merge`: returns
   *     the document to use, which may be that of an older copy
   */
  constructor(
    private readonly options: {
      readonly name: DocumentName;
      readonly parse: (body: string) => Result<T, DocumentError>;
      revisionOf(document: T): number;
      merge?(document: T, previous: T | undefined, isOlderCopy: boolean): T;
    },
  ) {}

  /** Name of the document. */
  get name(): DocumentName {
    return this.options.name;
  }

  /** The document in use; undefined before the first adoption. */
  get adopted(): AdoptedDocument<T> | undefined {
    return this.current;
  }

  /**
   * Checks whether the body of a version should be fetched.
   *
   * @param version - version that a peer or the platform announced
   * @returns true if it is newer than the one in use and was not refused
   */
  shouldFetch(version: DocumentVersion): boolean {
    const current = this.current?.published.version;
    if (current !== undefined && compareVersions(version, current) <= 0) {
      return false;
    }
    return !this.refused.some(known => compareVersions(known, version) === 0);
  }

  /**
   * Validates a document from any source and adopts it if it is the newest.
   *
   * @param published - document with the version reported by its source
   * @param nowMs - current instant in milliseconds
   * @returns the outcome; only `adopted` changes the document in use
   */
  offer(published: PublishedDocument, nowMs: InstantMs): OfferOutcome<T> {
    const current = this.current?.published.version;
    const {version} = published;
    if (current !== undefined && compareVersions(version, current) === 0) {
      return {type: 'unchanged'};
    }
    const sha256 = hashBody(published.body);
    const mismatch = this.findMismatch(published, sha256);
    if (mismatch !== undefined) {
      // Records the actual hash: the intact body of the reported version may
      // still arrive and must not count as refused.
      return this.refuse('invalid', {...version, sha256}, mismatch, []);
    }
    const parsed = this.options.parse(published.body);
    if (parsed.isErr()) {
      const {issues} = parsed.error;
      return this.refuse('invalid', version, summarize(issues), issues);
    }
    const revision = this.options.revisionOf(parsed.value);
    if (revision !== version.revision) {
      const reason = `the body has revision ${revision}, its source reported ${version.revision}`;
      return this.refuse('invalid', version, reason, []);
    }
    if (current === undefined || compareVersions(version, current) > 0) {
      return this.adopt(published, parsed.value, nowMs);
    }
    return this.handleOlder(version, current);
  }

  /**
   * Returns the status of the document for the status page.
   *
   * @param nowMs - current instant in milliseconds
   * @returns the version in use, its age, and refused and superseded versions
   */
  status(nowMs: InstantMs): DocumentStatus {
    const {current, refused, superseded} = this;
    return {
      revision: current?.published.version.revision ?? null,
      platformVersion: current?.published.version.platformVersion ?? null,
      platformEra: current?.published.version.platformEra ?? null,
      sha256: current?.published.version.sha256 ?? null,
      adoptedAgeMs: current === undefined ? null : nowMs - current.adoptedMs,
      refused,
      superseded,
    };
  }

  /** Describes a mismatch between the reported name or hash and the body. */
  private findMismatch(
    {name, version}: PublishedDocument,
    sha256: string,
  ): string | undefined {
    if (name !== this.options.name) {
      return `a document named ${name}, expected ${this.options.name}`;
    }
    return sha256 === version.sha256
      ? undefined
      : `the body has hash ${sha256}, its source reported ${version.sha256}`;
  }

  /** Replaces the document in use with a greater version. */
  private adopt(
    published: PublishedDocument,
    document: T,
    nowMs: InstantMs,
  ): OfferOutcome<T> {
    chart.next('offered', 'greatest');
    const previous = this.current?.published.version;
    const isOlderCopy =
      previous !== undefined && isFromOlderCopy(published.version, previous);
    const used =
      this.options.merge?.(document, this.current?.document, isOlderCopy) ??
      document;
    const adopted = {published, document: used, adoptedMs: nowMs};
    this.current = adopted;
    if (previous === undefined) {
      return {
        type: 'adopted',
        adopted,
        previous: undefined,
        previousState: undefined,
      };
    }
    const isConflicting = this.isConflict(previous, published.version);
    const previousState = chart.next(
      'adopted',
      isConflicting ? 'newer-same-revision' : 'newer-revision',
    ) as 'replaced' | 'superseded';
    if (isConflicting) {
      this.superseded = insertVersion(this.superseded, previous);
    }
    return {type: 'adopted', adopted, previous, previousState};
  }

  /** Records a valid version that is older than the one in use. */
  private handleOlder(
    version: DocumentVersion,
    current: DocumentVersion,
  ): OfferOutcome<T> {
    if (this.isConflict(version, current)) {
      chart.next('offered', 'older-same-revision');
      this.superseded = insertVersion(this.superseded, version);
      return {type: 'superseded', by: current};
    }
    if (
      version.revision < current.revision &&
      version.platformEra === current.platformEra &&
      version.platformVersion > current.platformVersion
    ) {
      const reason = `published later than revision ${current.revision} but with the lower revision ${version.revision}; expected at least ${current.revision + 1}`;
      return this.refuse('revision-not-raised', version, reason, []);
    }
    chart.next('offered', 'older');
    return {type: 'ignored'};
  }

  /**
   * Returns true if two different config documents have the same revision, as
   * after concurrent publications. The list of VMs has no revision, so its
   * versions never conflict.
   */
  private isConflict(a: DocumentVersion, b: DocumentVersion): boolean {
    return (
      this.options.name === 'config' &&
      a.revision === b.revision &&
      a.sha256 !== b.sha256
    );
  }

  /** Records a version that must not be used. */
  private refuse(
    event: 'invalid' | 'revision-not-raised',
    version: DocumentVersion,
    reason: string,
    issues: readonly InputIssue[],
  ): OfferOutcome<T> {
    chart.next('offered', event);
    this.refused = insertVersion(this.refused, {...version, reason});
    return {type: 'refused', version, reason, issues};
  }
}

/**
 * Returns whether a version may be that of an older copy from which the platform
 * was restored. The versions of an era count on from those of its copy.
 */
function isFromOlderCopy(
  version: DocumentVersion,
  previous: DocumentVersion,
): boolean {
  return (
    version.platformEra > previous.platformEra &&
    version.platformVersion <= previous.platformVersion
  );
}

/**
 * Creates the store of the operators' document.
 *
 * @returns an empty store
 *
 * @example
 * ```ts
 * const store = createConfigStore();
 * ```
 */
export function createConfigStore(): DocumentStore<ConfigDocument> {
  return new DocumentStore({
    name: 'config',
    parse: parseConfigDocument,
    revisionOf: document => document.revision,
  });
}

/**
 * Creates the store of the platform's list of VMs.
 *
 * @returns an empty store
 *
 * @example
 * ```ts
 * const store = createVmListStore();
 * ```
 */
export function createVmListStore(): DocumentStore<VmListDocument> {
  const history = new VmListHistory();
  return new DocumentStore({
    name: 'vms',
    parse: parseVmListDocument,
    revisionOf: () => 0,
    merge: (list, previous, isOlderCopy) =>
      history.adopt(list, previous, isOlderCopy),
  });
}

/** Inserts a version without duplicates and keeps the greatest versions. */
function insertVersion<V extends DocumentVersion>(
  known: readonly V[],
  version: V,
): readonly V[] {
  if (known.some(entry => compareVersions(entry, version) === 0)) {
    return known;
  }
  return [...known, version]
    .sort((a, b) => compareVersions(b, a))
    .slice(0, MAX_LISTED_VERSIONS);
}

/** Formats the first issues as the reason of a refusal, in one line. */
function summarize(issues: readonly InputIssue[]): string {
  const shown = issues.slice(0, MAX_ISSUES_IN_REASON).map(formatIssue);
  const rest = issues.length - shown.length;
  return shown.join('; ') + (rest > 0 ? `; and ${rest} more` : '');
}
