/**
 * Inputs and effects of the request engine, the pure core of a daemon. The
 * adapters turn I/O into calls of the engine and carry out its effects.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';
import type {ClaimAnswer, ClaimRequest, Settlement} from '../recovery/index.js';
import type {EventPart} from '../timeline/index.js';

/** A caller's request after its head and body were read. */
export interface CallerRequest {
  /** Unique within the process. */
  readonly requestId: string;
  readonly service: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly bodySizeBytes: number;
  readonly idempotencyKey: string | undefined;
  /** The caller's attempt count; undefined if it sent none. */
  readonly attempt: number | undefined;
  /** Deadline stated by the caller; undefined for the kind's default. */
  readonly deadlineMs: InstantMs | undefined;
}

/** Why a caller gets no answer of a target. */
export type RefusalReason =
  | 'unknown-service'
  | 'unknown-kind'
  | 'not-ready'
  | 'overloaded'
  | 'no-target'
  | 'deadline'
  | 'connection-lost'
  | 'home-unreachable'
  | 'already-ran'
  | 'already-running'
  | 'possibly-ran'
  | 'key-mismatch'
  | 'quarantined'
  | 'retry-budget';

/** How a caller is answered; the reason is one of the engine's. */
export type AnswerOutcome<Reason> =
  /** Pass on the response of the attempt with this token. */
  | {readonly type: 'response'; readonly token: string}
  | {
      readonly type: 'refusal';
      readonly status: number;
      readonly verdict: Verdict;
      readonly reason: Reason;
      /** Seconds for the `retry-after` header; undefined for none. */
      readonly retryAfterSeconds: number | undefined;
    };

/** How the caller is answered. */
export type Outcome = AnswerOutcome<RefusalReason>;

/** Load of a target as it states it itself. */
export interface TargetFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes, as a multiple of the usual time. */
  readonly slowness: number;
}

/** Step of an attempt, reported by the target adapter. */
export type AttemptSignal =
  /**
   * A connection is ready and the first byte is about to be written. If the
   * returned effects hold a `cancel` of the token, no byte may be written: the
   * deadline has passed or the attempt has ended.
   */
  | {readonly type: 'sent'}
  /**
   * The complete response arrived, or exceeded the buffer and is streamed to
   * the caller from now on. Signals after it are ignored.
   */
  | {
      readonly type: 'response';
      readonly status: number;
      /** Explicit refusal: the target did not start the work. */
      readonly refused: boolean;
      readonly draining: boolean;
      /** Load carried on the response; undefined if it carries none. */
      readonly inFlight: number | undefined;
      /** Detailed load; undefined if it carries none. */
      readonly figures?: TargetFigures | undefined;
      /** Another target answered under the address; it did not run the work. */
      readonly misdirected?: boolean;
    }
  /** No connection could be opened; no byte left. */
  | {readonly type: 'unreachable'}
  /** The connection broke after `sent`, also within the response. */
  | {
      readonly type: 'lost';
      /** A new connection to the target is refused. */
      readonly crashed: boolean;
      /**
       * The adapter gave up the connection because it was silent while others
       * answered. Counts against the connection, not against the target.
       */
      readonly silent?: boolean;
    }
  /** Cancelled as the engine asked. */
  | {readonly type: 'cancelled'; readonly bytesSent: boolean};

/** What the adapters must do. */
export type Effect =
  | {
      readonly type: 'send';
      readonly token: string;
      readonly requestId: string;
      readonly targetId: string;
      readonly host: string;
      readonly port: number;
      /** `proven`: new connection, or one that answered recently. */
      readonly freshness: 'any' | 'proven';
      /** Greatest number of connections to the target. */
      readonly maxConnections: number;
      /**
       * Time without a byte of the response after which an old connection
       * counts as failed if another one to the target answered meanwhile;
       * undefined while the service time of the kind is unknown, and for
       * non-idempotent requests.
       */
      readonly silenceLimitMs: number | undefined;
      readonly deadlineMs: InstantMs;
    }
  | {readonly type: 'cancel'; readonly token: string}
  | {
      readonly type: 'claim';
      readonly homeVmId: string;
      readonly claim: ClaimRequest;
    }
  | {
      readonly type: 'settle';
      readonly homeVmId: string;
      readonly settlement: Settlement;
    }
  | {
      readonly type: 'respond';
      readonly requestId: string;
      readonly outcome: Outcome;
    }
  | {
      readonly type: 'probe';
      readonly service: string;
      readonly targetId: string;
      readonly host: string;
      readonly port: number;
      /** Greatest number of connections to the target. */
      readonly maxConnections: number;
    }
  | {readonly type: 'publish'; readonly key: string; readonly value: string}
  | {
      readonly type: 'event';
      readonly part: EventPart;
      readonly name: string;
      readonly details: Readonly<Record<string, string | number | boolean>>;
    };

/** Answer to a claim, matched by token. */
export interface ClaimReply {
  readonly token: string;
  readonly answer: ClaimAnswer;
}
