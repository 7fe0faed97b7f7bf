/**
 * Attempts from their start to their end.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {LoadBoard} from '../load/index.js';
import type {RelayPeers} from '../relay/index.js';
import type {Delivery, DeliveryAttempt} from './delivery.js';

/** Options of {@link OpenAttempts}. */
export interface OpenAttemptsOptions {
  readonly board: LoadBoard;
  readonly peers: RelayPeers;
  /** Cancels an attempt at the adapter. */
  readonly cancel: (token: string) => void;
}

/** An open attempt with its request. */
export interface OpenAttempt {
  readonly delivery: Delivery;
  readonly attempt: DeliveryAttempt;
}

/**
 * Owns the attempts that are in progress. Each one ends exactly once: by a
 * signal of its connection, or by its withdrawal. An attempt that was sent and
 * is not answered is withdrawn a grace period after its request has expired,
 * whatever has become of its caller; until then the target may be at work on
 * it, so it counts as load. It never counts as not run.
 */
export class OpenAttempts {
  private readonly byToken = new Map<string, OpenAttempt>();

  /** @param options - loads of targets and peers, and the adapter's cancel */
  constructor(private readonly options: OpenAttemptsOptions) {}

  /**
   * Adds an attempt and counts it as load of its target or peer.
   *
   * @param delivery - request of the attempt
   * @param attempt - the attempt, not yet sent
   * @param nowMs - current instant in milliseconds
   */
  add(delivery: Delivery, attempt: DeliveryAttempt, nowMs: InstantMs): void {
    const {board, peers} = this.options;
    this.byToken.set(attempt.token, {delivery, attempt});
    if (attempt.peerHost === undefined) {
      board.onSent(attempt.targetId, nowMs);
    } else {
      peers.onStarted(attempt.peerHost);
    }
  }

  /**
   * Finds an open attempt.
   *
   * @param token - token of the attempt
   * @returns the attempt, or undefined if it is unknown or has ended
   */
  find(token: string): OpenAttempt | undefined {
    return this.byToken.get(token);
  }

  /** Marks an attempt as ended by a signal; the caller records its outcome. */
  end(attempt: DeliveryAttempt): void {
    attempt.isOpen = false;
    this.byToken.delete(attempt.token);
  }

  /** Withdraws all open attempts of a request. */
  withdrawAll(delivery: Delivery, nowMs: InstantMs): void {
    for (const attempt of delivery.openAttempts) {
      this.withdraw(attempt, nowMs);
    }
  }

  /**
   * Withdraws the open attempts of a request that may be dropped: those that
   * were not sent, and all of an idempotent request.
   */
  withdrawDroppable(delivery: Delivery, nowMs: InstantMs): void {
    if (delivery.rule.idempotent) {
      this.withdrawAll(delivery, nowMs);
    } else {
      this.withdrawUnsent(delivery, nowMs);
    }
  }

  /** Withdraws the open attempts of a request that were not sent. */
  withdrawUnsent(delivery: Delivery, nowMs: InstantMs): void {
    for (const attempt of delivery.openAttempts) {
      if (attempt.sentMs === undefined) {
        this.withdraw(attempt, nowMs);
      }
    }
  }

  private withdraw(attempt: DeliveryAttempt, nowMs: InstantMs): void {
    const {board, peers, cancel} = this.options;
    const {targetId, targetStartedMs, peerHost, token} = attempt;
    this.end(attempt);
    if (peerHost === undefined) {
      board.onEnded(targetId, 'withdrawn', nowMs, targetStartedMs);
    } else {
      peers.onEnded(peerHost, 'withdrawn', nowMs);
    }
    cancel(token);
  }
}
