/**
 * Connections of one VM to targets: attempts, cancellation and probes.
 *
 * Bodies up to 1 MiB are buffered and reported when they are whole. A longer
 * body is reported when the buffer is full and then streamed to the caller,
 * whose connection is destroyed if the target's breaks; a typed refusal would
 * keep callers from ever getting such an answer.
 *
 * Each connection is one undici `Client` on a socket opened here. undici calls
 * back right before it writes and looks for a pending close before it reuses a
 * connection; node:http tells neither. `bench/request_path.sh 7 500 4 2` on a
 * busy machine (load average 6 to 8) gave medians of 726 us for a node:http
 * server with the node:http client, 558 us with undici, 806 us for restify with
 * undici and 845 us for the daemon; direct calls took 190 us. Tails lay within
 * the noise of that machine.
 *
 * @packageDocumentation
 */
export type {AttemptRequest, SignalListener} from './attempt.js';
export {PROVEN_WINDOW_MS} from './connection_pool.js';
export {
  TargetClient,
  type SendOptions,
  type TargetAddress,
} from './target_client.js';
export {MAX_BUFFERED_BYTES} from './target_connection.js';
export {
  TargetResponse,
  type BodySink,
  type BodySource,
} from './target_response.js';
