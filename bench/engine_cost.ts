/**
 * Measures the time that the engine takes per request (onRequest, sent,
 * response), with the fixture pool and without sockets.
 *
 * Run: `npm run build && node dist/bench/engine_cost.js [seed]`
 *
 * @packageDocumentation
 */
import {SystemClock} from '../src/core/index.js';
import {fixtureRequest, readyEngine} from '../src/engine/engine_fixture.js';
import type {AttemptSignal, RequestEngine} from '../src/engine/index.js';

const ROUNDS = 7;
const REQUESTS_PER_ROUND = 50_000;
const TARGET_COUNT = 20;
const DEFAULT_SEED = 42;

const response: AttemptSignal = {
  type: 'response',
  status: 200,
  refused: false,
  draining: false,
  inFlight: 1,
};

/** Serves one request, with a tick every 10 requests (1,000 requests/s). */
function serve(engine: RequestEngine, index: number): void {
  const nowMs = index;
  const request = fixtureRequest(`r${index}`);
  const effects = engine.onRequest(request, nowMs);
  const send = effects.find(effect => effect.type === 'send');
  if (send === undefined) {
    throw new Error(`request ${index} was not sent`);
  }
  engine.onAttemptSignal(send.token, {type: 'sent'}, nowMs);
  engine.onAttemptSignal(send.token, response, nowMs + 0.5);
  if (index % 10 === 0) {
    engine.onTick(nowMs + 0.5);
  }
}

/** Runs one round and returns the mean microseconds per request. */
function runRound(engine: RequestEngine, round: number): number {
  const clock = new SystemClock();
  const startMs = clock.nowMs();
  const first = round * REQUESTS_PER_ROUND + 1;
  for (let index = first; index < first + REQUESTS_PER_ROUND; index += 1) {
    serve(engine, index);
  }
  return ((clock.nowMs() - startMs) * 1000) / REQUESTS_PER_ROUND;
}

const seed = Number(process.argv[2] ?? DEFAULT_SEED);
const engine = readyEngine({seed, targetCount: TARGET_COUNT, nowMs: 0});
const costsUs = Array.from({length: ROUNDS}, (_, round) =>
  runRound(engine, round),
);
const sorted = [...costsUs].sort((a, b) => a - b);
const medianUs = sorted[Math.floor(ROUNDS / 2)] ?? 0;
console.log(`seed ${seed}, ${ROUNDS} rounds of ${REQUESTS_PER_ROUND} requests`);
console.log(`rounds: ${costsUs.map(cost => cost.toFixed(2)).join(' ')} us`);
console.log(`median: ${medianUs.toFixed(2)} us per request`);
