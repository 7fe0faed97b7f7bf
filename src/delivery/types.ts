/**
 * Inputs and effects of the delivery engine.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {AnswerOutcome} from '../engine/index.js';
import type {RequestFingerprints} from '../recovery/index.js';

/** Terms under which a peer has passed a request of its caller on. */
export interface RelayTerms {
  /** Targets that the request may still be sent to. */
  readonly maxAttempts: number;
  /** Whether the peer has counted the request for its retry budget. */
  readonly isCounted: boolean;
  /** Version of the routes by which the peer has routed the request. */
  readonly routesVersion: number;
}

/** Request of a caller whose head and body are complete. */
export interface RoutedRequest extends RequestFingerprints {
  /** Unique within the process. */
  readonly requestId: string;
  /** Id that the caller gave to this attempt of its request. */
  readonly callId: string;
  /** Value of the `host` header. */
  readonly host: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Address from which the request came. */
  readonly callerAddress: string;
  readonly bodySizeBytes: number;
  readonly arrivedMs: InstantMs;
  /** Deadline of the caller; undefined if it sent none. */
  readonly deadlineMs: InstantMs | undefined;
  /** Undefined if the request comes from the caller itself. */
  readonly relay?: RelayTerms | undefined;
}

/** Reason why no response of a target is forwarded to the caller. */
export type DeliveryReason =
  | 'no-routes'
  | 'no-route'
  | 'outdated-routes'
  | 'cut-off'
  | 'leaving'
  | 'quarantined'
  | 'no-target'
  | 'overloaded'
  | 'unreachable'
  | 'refused'
  | 'lost'
  | 'timeout'
  | 'deadline';

/** Answer to a caller. */
export type DeliveryOutcome = AnswerOutcome<DeliveryReason>;

/** Log event: a decision with its inputs and outcome. */
export interface DeliveryEvent {
  readonly name: string;
  readonly details: Readonly<Record<string, string | number | boolean>>;
}

/** Effect that the adapters carry out, in order. */
export type DeliveryEffect =
  | {
      readonly type: 'send';
      readonly token: string;
      readonly requestId: string;
      readonly targetId: string;
      readonly host: string;
      readonly port: number;
      /**
       * `proven`: a new connection, or one that received a response recently.
       */
      readonly freshness: 'any' | 'proven';
      readonly maxConnections: number;
      readonly deadlineMs: InstantMs;
    }
  /** Pass the request to a peer. */
  | {
      readonly type: 'relay';
      readonly token: string;
      readonly requestId: string;
      readonly host: string;
      readonly freshness: 'any' | 'proven';
      readonly deadlineMs: InstantMs;
      readonly terms: RelayTerms;
    }
  /** Probe the load of targets at once; then notify the engine. */
  | {
      readonly type: 'probe';
      readonly requestId: string;
      readonly targetIds: readonly string[];
    }
  | {readonly type: 'cancel'; readonly token: string}
  /** The response of the attempt is no longer needed. */
  | {readonly type: 'discard'; readonly token: string}
  | {
      readonly type: 'respond';
      readonly requestId: string;
      readonly outcome: DeliveryOutcome;
    }
  | {readonly type: 'event'; readonly event: DeliveryEvent};
