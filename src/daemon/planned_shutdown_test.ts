import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlannedShutdown, type ShutdownParts} from './planned_shutdown.js';

/** Time of a request that arrives during the farewell; longer than that. */
const LATE_REQUEST_MS = 1_500;

/** Parts without requests, and with one other VM that takes all records. */
function quietParts(overrides: object): ShutdownParts {
  const parts = {
    settings: {leaveDelayMs: 0},
    clock: {nowMs: () => 1_000},
    callers: {
      openCount: 0,
      connectedMs: -Infinity,
      beginDrain: () => undefined,
      stopListening: () => undefined,
    },
    engine: {inFlightCount: () => 0},
    claims: {openSettlementCount: 0, addressOf: () => undefined},
    home: {
      stopTaking: () => undefined,
      planHandOver: () => ({batches: new Map(), isComplete: true}),
    },
    book: {summary: () => ({lastEvictionMs: -Infinity})},
    transport: {},
    membership: {setOwnState: () => undefined},
    log: {warn: () => undefined},
    ...overrides,
  };
  return parts as unknown as ShutdownParts;
}

test('a request that arrives during the farewell is finished', async () => {
  // Guards against work that runs and whose caller is cut off: connections that
  // were open before may bring requests until the end.
  const callers = {
    openCount: 0,
    connectedMs: -Infinity,
    beginDrain: () => undefined,
    stopListening: () => undefined,
  };
  const steps: string[] = [];
  const membership = {
    setOwnState: (): void => {
      steps.push('farewell');
      callers.openCount = 1;
      setTimeout(() => {
        steps.push('answered');
        callers.openCount = 0;
      }, LATE_REQUEST_MS);
    },
  };
  await new PlannedShutdown(quietParts({callers, membership})).run();
  steps.push('ended');
  assert.deepEqual(steps, ['farewell', 'answered', 'ended']);
});

test('the departure is announced after all requests are finished', async () => {
  // Guards against peers that take a key over while its request still runs.
  const steps: string[] = [];
  let inFlightCount = 1;
  setTimeout(() => {
    steps.push('answered');
    inFlightCount = 0;
  }, 600);
  const engine = {inFlightCount: () => inFlightCount};
  const membership = {setOwnState: () => steps.push('farewell')};
  await new PlannedShutdown(quietParts({engine, membership})).run();
  assert.deepEqual(steps, ['answered', 'farewell']);
});
