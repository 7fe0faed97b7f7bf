/**
 * Inputs and effects of the delivery engine.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {AnswerOutcome} from '../engine/index.js';

/** A caller's request after its head and body were read. */
export interface RoutedRequest {
  /** Unique within the process. */
  readonly requestId: string;
  /** Id that the caller gave this sending of its request. */
  readonly callId: string;
  /** Value of the `host` header. */
  readonly host: string;
  /** Method in upper case. */
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Hash of caller, method, host, path and body. */
  readonly fingerprint: string;
  readonly bodySizeBytes: number;
  readonly arrivedMs: InstantMs;
  /** Latest instant at which the caller waits; undefined if not stated. */
  readonly deadlineMs: InstantMs | undefined;
}

/** Why a caller gets no answer of a target. */
export type DeliveryReason =
  | 'no-routes'
  | 'no-route'
  | 'leaving'
  | 'quarantined'
  | 'no-target'
  | 'overloaded'
  | 'unreachable'
  | 'refused'
  | 'lost'
  | 'timeout'
  | 'deadline';

/** How a caller is answered. */
export type DeliveryOutcome = AnswerOutcome<DeliveryReason>;

/** A line for the log: a decision, its inputs and its outcome. */
export interface DeliveryEvent {
  readonly name: string;
  readonly details: Readonly<Record<string, string | number | boolean>>;
}

/** What the adapters must do, in order. */
export type DeliveryEffect =
  | {
      readonly type: 'send';
      readonly token: string;
      readonly requestId: string;
      readonly targetId: string;
      readonly host: string;
      readonly port: number;
      /** `proven`: new connection, or one that answered just now. */
      readonly freshness: 'any' | 'proven';
      readonly maxConnections: number;
      readonly deadlineMs: InstantMs;
    }
  /** Ask targets for their load at once; `onAsked` follows. */
  | {
      readonly type: 'ask';
      readonly requestId: string;
      readonly targetIds: readonly string[];
    }
  | {readonly type: 'cancel'; readonly token: string}
  /** The response of the attempt is not needed any more. */
  | {readonly type: 'discard'; readonly token: string}
  | {
      readonly type: 'respond';
      readonly requestId: string;
      readonly outcome: DeliveryOutcome;
    }
  | {readonly type: 'event'; readonly event: DeliveryEvent};
