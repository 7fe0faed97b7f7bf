/**
 * Results of attempts by their final signal.
 *
 * @packageDocumentation
 */
import type {Verdict} from '../core/index.js';
import type {AttemptSignal} from '../engine/index.js';
import type {TargetOutcome} from '../load/index.js';
import type {RelayOutcome} from '../relay/index.js';

/** Signal that ends an attempt. */
export type EndSignal = Exclude<AttemptSignal, {readonly type: 'sent'}>;

/**
 * Returns the outcome of an attempt from the point of view of its target.
 *
 * @param signal - final signal of the attempt
 * @returns outcome to record for the target
 */
export function outcomeOf(signal: EndSignal): TargetOutcome {
  switch (signal.type) {
    case 'response':
      if (signal.refused) {
        return 'refused';
      }
      return signal.status >= 500 ? 'failed' : 'answered';
    case 'unreachable':
      return 'unreachable';
    case 'lost':
      return 'failed';
    case 'cancelled':
      return 'withdrawn';
  }
}

/** How a request at a peer ended, and whether it may have run. */
export interface RelayResult {
  readonly outcome: RelayOutcome;
  readonly verdict: Verdict;
}

/**
 * Returns the result of an attempt that a peer carried.
 *
 * @param signal - final signal of the attempt
 * @returns outcome for the peer, and verdict on the request
 */
export function relayResultOf(signal: EndSignal): RelayResult {
  switch (signal.type) {
    case 'response':
      if (signal.refused) {
        return {outcome: 'refused', verdict: 'not-run'};
      }
      return signal.unanswered === true
        ? {outcome: 'refused', verdict: 'may-have-run'}
        : {outcome: 'carried', verdict: 'ran'};
    case 'unreachable':
      return {outcome: 'failed', verdict: 'not-run'};
    case 'lost':
      return {outcome: 'failed', verdict: 'may-have-run'};
    case 'cancelled':
      return {
        outcome: 'withdrawn',
        verdict: signal.bytesSent ? 'may-have-run' : 'not-run',
      };
  }
}
