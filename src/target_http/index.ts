/**
 * Connections of one VM to targets: attempts, cancellation and probes.
 *
 * Bodies up to 1 MiB are buffered and reported when they are whole. A longer
 * body is reported when the buffer is full and then streamed to the caller,
 * whose connection is destroyed if the target's breaks; a typed refusal would
 * keep callers from ever getting such an answer.
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
