/**
 * Policies that select a target for a request.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {RoutingPolicyName} from '../preset/index.js';

/** Target that a policy may choose, with its load. */
export interface TargetCandidate {
  readonly targetId: string;
  /** True if the target is in this VM's failure domain. */
  readonly sameFailureDomain: boolean;
  /** Attempts that this VM has in flight at the target. */
  readonly ownInFlight: number;
  /** Estimated requests in flight from all VMs, raised by recent refusals. */
  readonly estimatedInFlight: number;
  /** Part of the estimate that is exact or recently reported. */
  readonly confirmedInFlight: number;
  /** Penalty for recent failures, in requests; affects only the ranking. */
  readonly failurePenalty: number;
  /** Slots times the slow-start factor, at least 1. */
  readonly usableSlots: number;
}

/** Selects a target for each request. */
export abstract class RoutingPolicy {
  /** True if requests wait while all targets are estimated to be full. */
  abstract readonly limitsLoad: boolean;

  /**
   * Selects a target.
   *
   * @param candidates - targets that may be chosen
   * @param random - source of random numbers
   * @returns the selected target; undefined if there is no candidate, or if the
   *     policy limits the load and all candidates are full
   */
  abstract choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined;
}

/**
 * Selects the target with the lowest estimated load among all candidates or a
 * random sample.
 */
export class EstimatedLoadPolicy extends RoutingPolicy {
  override readonly limitsLoad = true;

  /**
   * @param options - `sampleSize`: number of targets that are compared
   */
  constructor(private readonly options: {readonly sampleSize: number}) {
    super();
  }

  override choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const sample = drawSample(candidates, this.options.sampleSize, random);
    const sampled = findLeastBy(sample, loadScore, random);
    if (sampled === undefined || hasFreeSlot(sampled)) {
      return sampled;
    }
    // A request must not wait while a target outside the sample has a free
    // slot.
    const free = candidates.filter(hasFreeSlot);
    return findLeastBy(free, loadScore, random);
  }
}

/** Selects a target uniformly at random. */
export class RandomPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    return candidates[random.nextInt(candidates.length)];
  }
}

/** Selects targets in turn, ordered by id. */
export class RoundRobinPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;
  private lastTargetId: string | undefined;

  override choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const ordered = [...candidates].sort((a, b) =>
      a.targetId < b.targetId ? -1 : 1,
    );
    const last = this.lastTargetId;
    // Starts at random so that VMs started together do not rotate in lockstep.
    const chosen =
      last === undefined
        ? ordered[random.nextInt(ordered.length)]
        : (ordered.find(candidate => candidate.targetId > last) ?? ordered[0]);
    this.lastTargetId = chosen?.targetId;
    return chosen;
  }
}

/** Selects the target at which this VM has the fewest attempts in flight. */
export class LeastInFlightPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    return findLeastBy(candidates, ownInFlightScore, random, preferNone);
  }
}

/**
 * Selects, of two random targets, the one at which this VM has fewer attempts
 * in flight.
 */
export class TwoChoicesPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const sample = drawSample(candidates, 2, random);
    return findLeastBy(sample, ownInFlightScore, random, preferNone);
  }
}

/**
 * Creates a policy by name.
 *
 * @param name - name of the policy in the preset
 * @param options - `sampleSize`: number of targets that `estimated-load`
 *     compares
 * @returns a new policy
 *
 * @example
 * ```ts
 * const policy = createRoutingPolicy('two-choices', {sampleSize: 3});
 * ```
 */
export function createRoutingPolicy(
  name: RoutingPolicyName,
  options: {readonly sampleSize: number},
): RoutingPolicy {
  switch (name) {
    case 'estimated-load':
      return new EstimatedLoadPolicy(options);
    case 'random':
      return new RandomPolicy();
    case 'round-robin':
      return new RoundRobinPolicy();
    case 'least-in-flight':
      return new LeastInFlightPolicy();
    case 'two-choices':
      return new TwoChoicesPolicy();
  }
}

/**
 * Returns the target with the lowest estimated load, even if it is full.
 *
 * @param candidates - targets to compare
 * @param random - source of random numbers, for ties
 * @returns the target; undefined if `candidates` is empty
 * @internal
 */
export function findLeastLoaded(
  candidates: readonly TargetCandidate[],
  random: RandomSource,
): TargetCandidate | undefined {
  return findLeastBy(candidates, loadScore, random);
}

/** Returns whether the target can start another request immediately. */
function hasFreeSlot(candidate: TargetCandidate): boolean {
  return candidate.confirmedInFlight < candidate.usableSlots;
}

/** Returns the load in whole requests, relative to the usable slots. */
function loadScore(candidate: TargetCandidate): number {
  const load = Math.round(
    candidate.estimatedInFlight + candidate.failurePenalty,
  );
  return load / candidate.usableSlots;
}

/** Returns the number of attempts that this VM has in flight. */
function ownInFlightScore(candidate: TargetCandidate): number {
  return candidate.ownInFlight;
}

/** Breaks ties purely at random, as the baseline policies do. */
function preferNone(): boolean {
  return false;
}

/** Prefers targets in this VM's failure domain. */
function isInLocalDomain(candidate: TargetCandidate): boolean {
  return candidate.sameFailureDomain;
}

/**
 * Returns the candidate with the lowest score. Ties are broken by preference,
 * then at random.
 */
function findLeastBy(
  candidates: readonly TargetCandidate[],
  score: (candidate: TargetCandidate) => number,
  random: RandomSource,
  isPreferred: (candidate: TargetCandidate) => boolean = isInLocalDomain,
): TargetCandidate | undefined {
  let best: TargetCandidate | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let tieCount = 0;
  for (const candidate of candidates) {
    const candidateScore = score(candidate);
    if (best === undefined || candidateScore < bestScore) {
      best = candidate;
      bestScore = candidateScore;
      tieCount = 1;
      continue;
    }
    if (
      candidateScore > bestScore ||
      (isPreferred(best) && !isPreferred(candidate))
    ) {
      continue;
    }
    tieCount = isPreferred(best) === isPreferred(candidate) ? tieCount + 1 : 1;
    if (random.nextInt(tieCount) === 0) {
      best = candidate;
    }
  }
  return best;
}

/** Draws a random sample without replacement. */
function drawSample(
  candidates: readonly TargetCandidate[],
  size: number,
  random: RandomSource,
): readonly TargetCandidate[] {
  if (candidates.length <= size) {
    return candidates;
  }
  const shuffled = [...candidates];
  for (let index = 0; index < size; index += 1) {
    const drawnIndex = index + random.nextInt(shuffled.length - index);
    const drawn = shuffled[drawnIndex];
    const replaced = shuffled[index];
    if (drawn !== undefined && replaced !== undefined) {
      shuffled[index] = drawn;
      shuffled[drawnIndex] = replaced;
    }
  }
  return shuffled.slice(0, size);
}
