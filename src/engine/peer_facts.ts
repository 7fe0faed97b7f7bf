/**
 * Facts that peers share with this VM.
 *
 * @packageDocumentation
 */
import {z} from 'zod';
import type {InstantMs} from '../core/index.js';
import type {Fact} from '../membership/index.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState} from './service_state.js';

const count = z.number().int().nonnegative();

/** Requests in flight and age in milliseconds when it was published. */
const reportSchema = z.tuple([count, z.number().nonnegative()]);

const targetIdsSchema = z.array(z.string());

/**
 * Greatest number of remembered drain signs of targets that are not listed
 * yet. Bounds the memory that faulty facts can take.
 */
const MAX_UNLISTED_DRAINS = 10_000;

/**
 * Applies the facts of peers to pools and quarantine.
 *
 * @internal
 */
export class PeerFacts {
  /** Draining targets that the own VM list does not hold yet. */
  private readonly unlistedDrains = new Set<string>();

  constructor(private readonly context: EngineContext) {}

  /** Takes in a fact; facts with unknown keys belong to other modules. */
  onFact(fact: Fact, nowMs: InstantMs): void {
    if (fact.ownerId === this.context.options.incarnationId) {
      return;
    }
    const [topic, subject] = splitAt(fact.key);
    const value = parseJson(fact.value);
    if (fact.value === '') {
      // A deleted report, drain sign or implication takes nothing back.
      return;
    } else if (topic === 'report') {
      this.onReport(fact, subject, value, nowMs);
    } else if (topic === 'drain') {
      this.onDrain(subject, nowMs);
    } else if (topic === 'quarantine') {
      this.onImplication(fact, subject, value, nowMs);
    }
  }

  /** Applies drain signs that came before their target was listed. */
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
      quarantine.onPeerCleared(fingerprint);
    }
    for (const targetId of parsed.data) {
      quarantine.onPeerImplication(fingerprint, targetId, nowMs);
    }
  }

  private reject(fact: Fact): void {
    const {ownerId, key} = fact;
    this.context.event('membership', 'fact-rejected', {ownerId, key});
  }
}

/** Splits text at its first slash. */
function splitAt(text: string): readonly [string, string] {
  const slash = text.indexOf('/');
  return slash < 0 ? [text, ''] : [text.slice(0, slash), text.slice(slash + 1)];
}

/** Parses JSON; undefined if it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
