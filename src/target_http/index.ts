/**
 * HTTP client of one VM for targets: attempts, cancellation and load probes.
 *
 * Bodies up to 1 MiB are buffered and reported when they are complete. A longer
 * body is reported when the buffer is full and then streamed to the caller. If
 * the target's connection fails during streaming, the caller's connection is
 * destroyed. Refusing such responses instead would mean that callers could
 * never receive them.
 *
 * Each connection is one undici `Client` on a socket opened here. undici was
 * chosen over the client of node:http for two properties that the latter lacks:
 * it calls back right before it writes, and it checks for a pending close
 * before it reuses a connection. Speed was not a reason. Earlier medians
 * favoured undici at 300 requests/s (625 against 799 us) and at 500/s with seed
 * 7, but node:http in other runs at 500/s (580 against 771 us) and 800/s (412
 * against 466 us). `bench/request_path.sh 7 1 8` at a load average of 11 to 13
 * gave medians of 671 (undici) against 654 us at 500/s and 543 against 547 us
 * at 1,500/s, with 245 against 243 and 135 against 142 us of processor time per
 * request, which is within the noise of that machine. See
 * `docs/request_path.md`.
 *
 * @packageDocumentation
 */
export type {AttemptRequest, SignalListener} from './attempt.js';
export {
  NativeTargetProtocol,
  PROVEN_WINDOW_MS,
} from './native_target_protocol.js';
export {LoadProbe} from './load_probe.js';
export {
  TargetClient,
  type SendOptions,
  type TargetAddress,
} from './target_client.js';
export {MAX_BUFFERED_BYTES} from './target_connection.js';
export {
  TargetProtocol,
  type ConnectionTiming,
  type ResponseHead,
  type ResponseReport,
} from './target_protocol.js';
export {
  TargetResponse,
  type BodySink,
  type BodySource,
} from './target_response.js';
