/**
 * Inputs and effects of the request engine, the pure core of a daemon. Adapters
 * translate I/O into calls of the engine and perform its effects.
 *
 * @packageDocumentation
 */
import type {InstantMs, Verdict} from '../core/index.js';
import type {LimitStatement} from '../limits/index.js';
import type {ClaimAnswer, ClaimRequest, Settlement} from '../recovery/index.js';
import type {EventPart} from '../timeline/index.js';

/** Request of a caller whose head and body were read. */
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
  /** Hash of method, path without query, and body. */
  readonly resourceFingerprint: string;
  readonly bodySizeBytes: number;
  readonly idempotencyKey: string | undefined;
  /** Attempt count sent by the caller; undefined if it sent none. */
  readonly attempt: number | undefined;
  /** Deadline set by the caller; undefined for the kind's default. */
  readonly deadlineMs: InstantMs | undefined;
  /** True if a peer passed the request on, which holds its claim, if any. */
  readonly isRelayed?: boolean;
}

/** Reason why a caller gets no response of a target. */
export type RefusalReason =
  | 'unknown-service'
  | 'unknown-kind'
  | 'not-ready'
  | 'overloaded'
  | 'no-target'
  | 'cut-off'
  | 'deadline'
  | 'connection-lost'
  | 'home-unreachable'
  | 'already-ran'
  | 'already-running'
  | 'possibly-ran'
  | 'key-mismatch'
  | 'quarantined'
  | 'retry-budget';

/** Answer to a caller; `Reason` is the type of the refusal reasons. */
export type AnswerOutcome<Reason> =
  /** Forwards the response of the attempt with this token. */
  | {readonly type: 'response'; readonly token: string}
  | {
      readonly type: 'refusal';
      readonly status: number;
      readonly verdict: Verdict;
      readonly reason: Reason;
      /** Value of the `retry-after` header in seconds; undefined for none. */
      readonly retryAfterSeconds: number | undefined;
    };

/** Answer of the request engine to a caller. */
export type RequestOutcome = AnswerOutcome<RefusalReason>;

/** Load as reported by the target itself. */
export interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current service time as a multiple of the usual service time. */
  readonly slowness: number;
}

/**
 * Violation of HTTP or of the target protocol: `foreign`: the response belongs
 * to another request; `endless-head`, `endless-informational`,
 * `endless-framing`: bytes without end that are no response; `unsolicited`:
 * bytes while no request was in flight.
 */
export type ResponseViolation =
  | 'foreign'
  | 'endless-head'
  | 'endless-informational'
  | 'endless-framing'
  | 'unsolicited';

/** Signal about an attempt from the target adapter. */
export type AttemptSignal =
  /**
   * A connection is ready and the first byte is about to be written. If the
   * returned effects contain a `cancel` of the token, no byte may be written:
   * the deadline has passed or the attempt has ended.
   */
  | {readonly type: 'sent'}
  /**
   * The complete response arrived, or exceeded the buffer and is streamed to
   * the caller from now on. Later signals are ignored.
   */
  | {
      readonly type: 'response';
      readonly status: number;
      /** Explicit refusal: the target did not start the work. */
      readonly refused: boolean;
      readonly draining: boolean;
      /** Requests in flight at the target; undefined if not in the response. */
      readonly inFlight: number | undefined;
      /** Detailed load; undefined if not in the response. */
      readonly figures?: LoadFigures | undefined;
      /** Time for which the target stays cold; undefined if not told. */
      readonly coldMs?: number | undefined;
      /** Limit that the target names; undefined if the protocol has none. */
      readonly limit?: LimitStatement | undefined;
      /** A peer that carried the request got no response of a target. */
      readonly unanswered?: boolean;
      /** Delay that a peer states with its refusal, in seconds. */
      readonly retryAfterSeconds?: number | undefined;
      /** Another target responded at this address; it did not run the work. */
      readonly misdirected?: boolean;
    }
  /** No connection could be opened; no byte was sent. */
  | {readonly type: 'unreachable'}
  /** The connection broke after `sent`, possibly within the response. */
  | {
      readonly type: 'lost';
      /** A new connection to the target is refused. */
      readonly crashed: boolean;
      /** Why the adapter closed the connection of a misbehaving target. */
      readonly violation?: ResponseViolation;
      /**
       * The adapter closed the connection because it was silent while others
       * answered. Counts as a fault of the connection, not of the target.
       */
      readonly silent?: boolean;
    }
  /** The adapter cancelled the attempt, usually for a `cancel` effect. */
  | {readonly type: 'cancelled'; readonly bytesSent: boolean};

/** Action for the adapters to perform. */
export type Effect =
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
      /** Maximum number of connections to the target. */
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
  /** Pass the request to a peer. */
  | {
      readonly type: 'relay';
      readonly token: string;
      readonly requestId: string;
      readonly host: string;
      readonly port: number;
      readonly freshness: 'any' | 'proven';
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
      readonly outcome: RequestOutcome;
    }
  | {
      readonly type: 'probe';
      readonly service: string;
      readonly targetId: string;
      readonly host: string;
      readonly port: number;
      /** Maximum number of connections to the target. */
      readonly maxConnections: number;
    }
  | {readonly type: 'publish'; readonly key: string; readonly value: string}
  | {
      readonly type: 'event';
      readonly part: EventPart;
      readonly name: string;
      readonly details: Readonly<Record<string, string | number | boolean>>;
    };

/** Reply to a claim, matched by token. */
export interface ClaimReply {
  readonly token: string;
  readonly answer: ClaimAnswer;
}
