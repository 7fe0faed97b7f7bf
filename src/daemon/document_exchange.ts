/**
 * Adoption and distribution of the platform's documents.
 *
 * @packageDocumentation
 */
import {z} from 'zod';
import type {Clock} from '../core/index.js';
import {ownerIdOf, type Membership} from '../membership/index.js';
import type {PlatformReader} from '../platform_http/index.js';
import {
  selectPlatformReaders,
  type ConfigDocument,
  type DocumentName,
  type DocumentStore,
  type DocumentVersion,
  type PublishedDocument,
  type VmListDocument,
} from '../preset/index.js';
import type {ComponentLog} from './component_log.js';
import type {EventLog} from './event_log.js';
import type {PeerAddress, PeerTransport} from './peer_transport.js';

/** Prefix of the keys of facts that announce document versions. */
const DOCUMENT_FACT_PREFIX = 'document/';

const versionSchema = z.object({
  revision: z.number(),
  platformVersion: z.number(),
  // VMs of an earlier release do not tell it.
  platformEra: z.number().default(0),
  sha256: z.string(),
});

/** Receives adopted documents. */
export interface DocumentListener {
  onConfig(document: ConfigDocument): void;
  onVmList(document: VmListDocument): void;
}

/** Options of {@link DocumentExchange}. */
export interface DocumentExchangeOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly transport: PeerTransport;
  readonly config: DocumentStore<ConfigDocument>;
  readonly vms: DocumentStore<VmListDocument>;
  readonly events: EventLog;
  readonly log: ComponentLog;
}

/**
 * Offers documents of the platform and of peers to the stores, and announces
 * adopted versions to peers.
 */
export class DocumentExchange {
  private readonly fetching = new Set<DocumentName>();
  private listener: DocumentListener | undefined;
  private reader: PlatformReader | undefined;
  private platformEra: number | undefined;

  /** @param options - stores, membership and transport */
  constructor(private readonly options: DocumentExchangeOptions) {}

  /** Sets the listener for adopted documents and the reader of the platform. */
  attach(listener: DocumentListener, reader: PlatformReader): void {
    this.listener = listener;
    this.reader = reader;
  }

  /** Reports whether both documents have been adopted. */
  get isComplete(): boolean {
    const {config, vms} = this.options;
    return config.adopted !== undefined && vms.adopted !== undefined;
  }

  /**
   * Offers a document from any source to its store.
   *
   * @param published - document as its source provided it
   */
  offer(published: PublishedDocument): void {
    const {config, vms, clock} = this.options;
    const nowMs = clock.nowMs();
    this.logRestored(published.version.platformEra);
    if (published.name === 'config') {
      const outcome = config.offer(published, nowMs);
      this.recordOutcome(published, outcome);
      if (outcome.type === 'adopted') {
        this.listener?.onConfig(outcome.adopted.document);
      }
      return;
    }
    const outcome = vms.offer(published, nowMs);
    this.recordOutcome(published, outcome);
    if (outcome.type === 'adopted') {
      this.listener?.onVmList(outcome.adopted.document);
    }
  }

  /**
   * Fetches newer versions that peers announce, one fetch per document at a
   * time.
   */
  fetchNewer(): void {
    const {membership, config, vms} = this.options;
    for (const fact of membership.factsByPrefix(DOCUMENT_FACT_PREFIX)) {
      const name = fact.key.slice(DOCUMENT_FACT_PREFIX.length);
      const version = parseVersion(fact.value);
      if (version === undefined || (name !== 'config' && name !== 'vms')) {
        continue;
      }
      const store = name === 'config' ? config : vms;
      const address = this.addressOfOwner(fact.ownerId);
      if (address !== undefined && store.shouldFetch(version)) {
        void this.fetch(name, address);
      }
    }
  }

  /**
   * Starts or stops the platform reader by the ranking of live VMs.
   *
   * @param liveVmIds - ids of the live VMs, this one included
   */
  updateReader(liveVmIds: readonly string[]): void {
    const {reader} = this;
    const {membership, log} = this.options;
    if (reader === undefined) {
      return;
    }
    // A VM without known peers is the only live one, so it is the reader.
    const shouldRead = selectPlatformReaders(liveVmIds).includes(
      membership.self.vmId,
    );
    if (shouldRead && !reader.started) {
      log.info('started reading from the platform');
      reader.start();
    } else if (!shouldRead && reader.started) {
      log.info('stopped reading from the platform, other VMs are its readers');
      void reader.stop();
    }
  }

  private async fetch(name: DocumentName, peer: PeerAddress): Promise<void> {
    if (this.fetching.has(name)) {
      return;
    }
    this.fetching.add(name);
    try {
      const published = await this.options.transport.fetchDocument(peer, name);
      if (published !== undefined) {
        this.offer(published);
      }
    } catch (error) {
      this.options.log.error(`fetching ${name} failed`, error);
    } finally {
      this.fetching.delete(name);
    }
  }

  private addressOfOwner(ownerId: string): PeerAddress | undefined {
    const {membership} = this.options;
    if (ownerId === ownerIdOf(membership.self)) {
      return undefined;
    }
    return membership
      .members()
      .find(member => ownerIdOf(member.incarnation) === ownerId)?.incarnation;
  }

  /** Logs that the platform was restored from an older copy. */
  private logRestored(platformEra: number): void {
    const {events, log} = this.options;
    if (this.platformEra !== undefined && platformEra > this.platformEra) {
      log.warn(`the platform was restored from a copy, era ${platformEra}`);
      events.record('config', 'platform-restored', {platformEra});
    }
    this.platformEra = Math.max(this.platformEra ?? 0, platformEra);
  }

  private recordOutcome(
    published: PublishedDocument,
    outcome: {readonly type: string; readonly reason?: string},
  ): void {
    const {name, version} = published;
    const {events, log, membership} = this.options;
    const details = {
      document: name,
      revision: version.revision,
      platformVersion: version.platformVersion,
      platformEra: version.platformEra,
      sha256: version.sha256,
    };
    if (outcome.type === 'unchanged' || outcome.type === 'ignored') {
      return;
    }
    events.record('config', `document-${outcome.type}`, details);
    const label = `${name} revision ${version.revision}, platform version ${version.platformVersion}`;
    if (outcome.type === 'refused') {
      log.warn(`refused ${label}: ${outcome.reason ?? 'invalid'}`);
      return;
    }
    log.info(`${outcome.type} ${label}`);
    if (outcome.type === 'adopted') {
      membership.publish(
        `${DOCUMENT_FACT_PREFIX}${name}`,
        JSON.stringify(version),
      );
    }
  }
}

function parseVersion(text: string): DocumentVersion | undefined {
  try {
    return versionSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
