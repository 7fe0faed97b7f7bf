/**
 * Policies that choose one of several targets.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {RoutingPolicyName} from '../preset/index.js';

/** What a policy sees of a target that may be chosen. */
export interface TargetView {
  readonly targetId: string;
  /** True if the target is in the VM's own failure domain. */
  readonly sameFailureDomain: boolean;
  /** Attempts of this VM in flight. */
  readonly ownInFlight: number;
  /** Estimated requests of all VMs, raised by recent refusals. */
  readonly estimatedInFlight: number;
  /** The part of the load that is exact or recently reported. */
  readonly confirmedInFlight: number;
  /** Requests by which recent failures make the target less attractive. */
  readonly failurePenalty: number;
  /** Slots times the slow-start factor, at least 1. */
  readonly usableSlots: number;
}

/** Chooses a target for one request. */
export abstract class RoutingPolicy {
  /** Whether the policy holds requests back when targets seem full. */
  abstract readonly limitsLoad: boolean;

  /**
   * Chooses a target.
   *
   * @param candidates - targets that may be chosen
   * @param random - source of random numbers
   * @returns the chosen target; undefined if there is no candidate, or if the
   *     policy limits the load and all candidates are full
   */
  abstract choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined;
}

/**
 * Chooses the target with the least estimated load, of all candidates or of a
 * random sample.
 */
export class EstimatedLoadPolicy extends RoutingPolicy {
  override readonly limitsLoad = true;

  /**
   * @param options - `sampleSize`: number of targets to compare
   */
  constructor(private readonly options: {readonly sampleSize: number}) {
    super();
  }

  override choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined {
    const sample = sampleOf(candidates, this.options.sampleSize, random);
    const sampled = leastBy(sample, loadScore, random);
    if (sampled === undefined || hasFreeSlot(sampled)) {
      return sampled;
    }
    // A request must not wait while a target outside the sample is idle.
    const free = candidates.filter(hasFreeSlot);
    return leastBy(free, loadScore, random);
  }
}

/** Chooses any target. */
export class RandomPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined {
    return candidates[random.nextInt(candidates.length)];
  }
}

/** Chooses the targets in turn, in the order of their ids. */
export class RoundRobinPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;
  private lastTargetId: string | undefined;

  override choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined {
    const ordered = [...candidates].sort((a, b) =>
      a.targetId < b.targetId ? -1 : 1,
    );
    const last = this.lastTargetId;
    // A random start keeps VMs that start together from moving in step.
    const chosen =
      last === undefined
        ? ordered[random.nextInt(ordered.length)]
        : (ordered.find(view => view.targetId > last) ?? ordered[0]);
    this.lastTargetId = chosen?.targetId;
    return chosen;
  }
}

/** Chooses the target with the fewest own attempts in flight. */
export class LeastInFlightPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined {
    return leastBy(candidates, ownScore, random, ignoreDomain);
  }
}

/** Chooses of two random targets the one with fewer own attempts in flight. */
export class TwoChoicesPolicy extends RoutingPolicy {
  override readonly limitsLoad = false;

  override choose(
    candidates: readonly TargetView[],
    random: RandomSource,
  ): TargetView | undefined {
    const sample = sampleOf(candidates, 2, random);
    return leastBy(sample, ownScore, random, ignoreDomain);
  }
}

/**
 * Creates the policy with a name.
 *
 * @param name - name in the preset
 * @param options - `sampleSize`: targets that `estimated-load` compares
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
 * Finds the target with the least load, full or not.
 *
 * @param candidates - targets to compare
 * @param random - source of random numbers, for ties
 * @returns the target; undefined if there is none
 * @internal
 */
export function leastLoaded(
  candidates: readonly TargetView[],
  random: RandomSource,
): TargetView | undefined {
  return leastBy(candidates, loadScore, random);
}

/** True if the target can start one more request at once. */
function hasFreeSlot(view: TargetView): boolean {
  return view.confirmedInFlight < view.usableSlots;
}

/** Load of a target in whole requests, relative to its slots. */
function loadScore(view: TargetView): number {
  const load = Math.round(view.estimatedInFlight + view.failurePenalty);
  return load / view.usableSlots;
}

/** Load of a target as far as this VM caused it. */
function ownScore(view: TargetView): number {
  return view.ownInFlight;
}

/** Preference of the baselines among equal targets: none. */
function ignoreDomain(): boolean {
  return false;
}

/** Preference among equal targets: the own failure domain. */
function isNear(view: TargetView): boolean {
  return view.sameFailureDomain;
}

/** Finds the view with the least score; ties by preference, then at random. */
function leastBy(
  views: readonly TargetView[],
  score: (view: TargetView) => number,
  random: RandomSource,
  isPreferred: (view: TargetView) => boolean = isNear,
): TargetView | undefined {
  let best: TargetView | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let tieCount = 0;
  for (const view of views) {
    const viewScore = score(view);
    if (best === undefined || viewScore < bestScore) {
      best = view;
      bestScore = viewScore;
      tieCount = 1;
      continue;
    }
    if (viewScore > bestScore || (isPreferred(best) && !isPreferred(view))) {
      continue;
    }
    tieCount = isPreferred(best) === isPreferred(view) ? tieCount + 1 : 1;
    if (random.nextInt(tieCount) === 0) {
      best = view;
    }
  }
  return best;
}

/** Draws views without replacement. */
function sampleOf(
  views: readonly TargetView[],
  size: number,
  random: RandomSource,
): readonly TargetView[] {
  if (views.length <= size) {
    return views;
  }
  const rest = [...views];
  for (let index = 0; index < size; index += 1) {
    const other = index + random.nextInt(rest.length - index);
    const drawn = rest[other];
    const replaced = rest[index];
    if (drawn !== undefined && replaced !== undefined) {
      rest[index] = drawn;
      rest[other] = replaced;
    }
  }
  return rest.slice(0, size);
}
