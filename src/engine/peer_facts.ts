/**
 * Application of facts published by peers.
 *
 * @packageDocumentation
 */
import {z} from 'zod';
import type {InstantMs} from '../core/index.js';
import type {Fact} from '../membership/index.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState} from './service_state.js';

/** Key of the fact with the address at which a VM carries requests. */
export const RELAY_FACT = 'relay';

const countSchema = z.number().int().nonnegative();

/** Requests in flight, and age of the report at publication in ms. */
const reportSchema = z.tuple([countSchema, z.number().nonnegative()]);

const relaySchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});

const targetIdsSchema = z.array(z.string());

/**
 * Maximum number of stored drain signals for targets that are not listed yet.
 * Bounds the memory that faulty facts can use.
 */
const MAX_UNLISTED_DRAINS = 10_000;

/**
 * Most addresses of peers that are stored, those of VMs that have been replaced
 * included; the oldest are dropped first.
 */
const MAX_RELAY_ADDRESSES = 10_000;

/**
 * Applies facts of peers to target pools and the crash quarantine.
 *
 * @internal
 */
export class PeerFacts {
  /** Draining targets that the VM list of this VM does not contain yet. */
  private readonly unlistedDrains = new Set<string>();

  constructor(private readonly context: EngineContext) {}

  /** Applies a fact; ignores unknown keys, which belong to other modules. */
  onFact(fact: Fact, nowMs: InstantMs): void {
    if (fact.ownerId === this.context.options.incarnationId) {
      return;
    }
    const [topic, subject] = splitKey(fact.key);
    const value = parseJson(fact.value);
    if (topic === RELAY_FACT) {
      this.onRelayAddress(fact, value);
    } else if (fact.value === '') {
      // Deleting a report, drain signal or implication reverts nothing.
      return;
    } else if (topic === 'report') {
      this.onReport(fact, subject, value, nowMs);
    } else if (topic === 'drain') {
      this.onDrain(subject, nowMs);
    } else if (topic === 'quarantine') {
      this.onImplication(fact, subject, value, nowMs);
    }
  }

  /** Applies drain signals that arrived before their target was listed. */
  onTargetsListed(nowMs: InstantMs): void {
    for (const targetId of this.unlistedDrains) {
      const service = this.context.serviceOfTarget(targetId);
      if (service !== undefined) {
        service.markDraining(targetId, 'peer', nowMs);
        this.unlistedDrains.delete(targetId);
      }
    }
  }

  private onReport(
    fact: Fact,
    targetId: string,
    value: unknown,
    nowMs: InstantMs,
  ): void {
    const parsed = reportSchema.safeParse(value);
    if (!parsed.success) {
      this.reject(fact);
      return;
    }
    const [inFlight, ageMs] = parsed.data;
    const measuredMs = nowMs - ageMs;
    this.context
      .serviceOfTarget(targetId)
      ?.onReport(
        {targetId, source: 'peer', inFlight, draining: false, measuredMs},
        'peer',
        nowMs,
      );
  }

  /** Records where a peer carries requests; an empty value withdraws it. */
  private onRelayAddress(fact: Fact, value: unknown): void {
    const [vmId] = splitKey(fact.ownerId);
    const parsed = relaySchema.safeParse(value);
    const {relayAddresses} = this.context;
    relayAddresses.delete(vmId);
    if (parsed.success) {
      relayAddresses.set(vmId, parsed.data);
      const [oldestId] = relayAddresses.keys();
      if (relayAddresses.size > MAX_RELAY_ADDRESSES && oldestId !== undefined) {
        relayAddresses.delete(oldestId);
      }
      return;
    }
    if (fact.value !== '') {
      this.reject(fact);
    }
  }

  private onDrain(targetId: string, nowMs: InstantMs): void {
    const service: ServiceState | undefined =
      this.context.serviceOfTarget(targetId);
    if (service !== undefined) {
      service.markDraining(targetId, 'peer', nowMs);
    } else if (this.unlistedDrains.size < MAX_UNLISTED_DRAINS) {
      this.unlistedDrains.add(targetId);
    }
  }

  private onImplication(
    fact: Fact,
    fingerprint: string,
    value: unknown,
    nowMs: InstantMs,
  ): void {
    const parsed = targetIdsSchema.safeParse(value);
    if (!parsed.success) {
      this.reject(fact);
      return;
    }
    const {quarantine} = this.context.options;
    if (parsed.data.length === 0) {
      quarantine.onPeerCleared(fingerprint, nowMs);
    }
    for (const targetId of parsed.data) {
      quarantine.onPeerImplication(fingerprint, targetId, nowMs);
    }
  }

  private reject(fact: Fact): void {
    const {ownerId, key} = fact;
    this.context.emitEvent('membership', 'fact-rejected', {ownerId, key});
  }
}

/** Splits a key at its first slash into topic and subject. */
function splitKey(key: string): readonly [string, string] {
  const slash = key.indexOf('/');
  return slash < 0 ? [key, ''] : [key.slice(0, slash), key.slice(slash + 1)];
}

/** Parses JSON; returns undefined if it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
