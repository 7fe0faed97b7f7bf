/**
 * What attempts tell about their targets.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {TargetLimits} from '../limits/index.js';
import type {LoadBoard} from '../load/index.js';
import type {TargetReachability} from '../relay/index.js';
import {outcomeOf, type EndSignal} from './attempt_result.js';
import type {DeliveryAttempt} from './delivery.js';

/** Options of {@link TargetFacts}. */
export interface TargetFactsOptions {
  readonly board: LoadBoard;
  readonly targetLimits: TargetLimits;
  readonly reachability: TargetReachability;
}

/** Records loads, limits, drains, outcomes and reachability of targets. */
export class TargetFacts {
  /** @param options - where the facts are kept */
  constructor(private readonly options: TargetFactsOptions) {}

  /** Records what the end of an attempt tells about its target. */
  recordEnd(
    {targetId, targetStartedMs}: DeliveryAttempt,
    signal: EndSignal,
    nowMs: InstantMs,
  ): void {
    const {board, reachability} = this.options;
    if (signal.type === 'response') {
      reachability.onReached(targetId, nowMs);
    } else if (signal.type !== 'cancelled') {
      reachability.onFailed(targetId, nowMs);
    }
    // A VM without links to targets learns nothing about them.
    const isOwnFault = signal.type !== 'response' && reachability.isCutOff;
    const outcome = isOwnFault ? 'withdrawn' : outcomeOf(signal);
    board.onEnded(targetId, outcome, nowMs, targetStartedMs);
  }

  /** Records what the headers of a response tell about the target. */
  recordResponse(
    {targetId, targetStartedMs: startedMs}: DeliveryAttempt,
    signal: Extract<AttemptSignal, {readonly type: 'response'}>,
    nowMs: InstantMs,
  ): void {
    const {board, targetLimits} = this.options;
    if (signal.figures !== undefined) {
      board.onLoadReport(targetId, {...signal.figures, measuredMs: nowMs});
    }
    if (signal.misdirected === true) {
      return;
    }
    if (signal.limit !== undefined) {
      targetLimits.onStatement(targetId, signal.limit, nowMs);
    }
    if (signal.draining) {
      const source = 'response';
      board.onDrainNotice({targetId, startedMs, source, sinceMs: nowMs});
    }
  }
}
