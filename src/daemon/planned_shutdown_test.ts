import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlannedShutdown, type ShutdownParts} from './planned_shutdown.js';

/**
 * Duration of a request that arrives during the announcement of the departure,
 * in milliseconds; longer than the announcement.
 */
const LATE_REQUEST_MS = 1_500;

/**
 * Creates components without open requests and without records to hand over.
 */
function createParts(overrides: object): ShutdownParts {
  const parts = {
    settings: {leaveDelayMs: 0},
    clock: {nowMs: () => 1_000},
    callers: {
      openCount: 0,
      undeliveredCount: 0,
      connectedMs: -Infinity,
      beginDrain: () => undefined,
      stopListening: () => undefined,
    },
    relayServer: {
      openCount: 0,
      undeliveredCount: 0,
      beginDrain: () => undefined,
      stopListening: () => undefined,
    },
    engine: {inFlightCount: () => 0},
    claims: {openSettlementCount: 0, addressOf: () => undefined},
    home: {
      stopAcceptingClaims: () => undefined,
      planHandOver: () => ({batches: new Map(), isComplete: true}),
    },
    claimTable: {summary: () => ({lastEvictionMs: -Infinity})},
    transport: {},
    membership: {setState: () => undefined},
    log: {warn: () => undefined},
    ...overrides,
  };
  return parts as unknown as ShutdownParts;
}

test('a request that arrives while the departure is announced is finished', async () => {
  // Requests may arrive until the end on connections that were already open.
  // Their callers must not be cut off while the work runs.
  const callers = {
    openCount: 0,
    undeliveredCount: 0,
    connectedMs: -Infinity,
    beginDrain: () => undefined,
    stopListening: () => undefined,
  };
  const steps: string[] = [];
  const membership = {
    setState: (): void => {
      steps.push('farewell');
      callers.openCount = 1;
      setTimeout(() => {
        steps.push('answered');
        callers.openCount = 0;
      }, LATE_REQUEST_MS);
    },
  };
  await new PlannedShutdown(createParts({callers, membership})).run();
  steps.push('ended');
  assert.deepEqual(steps, ['farewell', 'answered', 'ended']);
});

test('the departure is announced after all requests are finished', async () => {
  // Peers must not take a key over while its request still runs.
  const steps: string[] = [];
  let inFlightCount = 1;
  setTimeout(() => {
    steps.push('answered');
    inFlightCount = 0;
  }, 600);
  const engine = {inFlightCount: () => inFlightCount};
  const membership = {setState: () => steps.push('farewell')};
  await new PlannedShutdown(createParts({engine, membership})).run();
  assert.deepEqual(steps, ['answered', 'farewell']);
});

test('a stop waits for responses that are being read, but not for ever', async () => {
  // Guards against cut responses, and against callers that hold up a stop.
  let nowMs = 1_000;
  const steps: string[] = [];
  const callers = {
    openCount: 0,
    undeliveredCount: 1,
    connectedMs: -Infinity,
    beginDrain: () => undefined,
    stopListening: () => undefined,
  };
  const clock = {nowMs: (): number => nowMs};
  const first = new PlannedShutdown(createParts({callers, clock})).run();
  setTimeout(() => {
    steps.push('read');
    callers.undeliveredCount = 0;
  }, 1_800);
  await first;
  assert.deepEqual(steps, ['read']);
  callers.undeliveredCount = 1;
  const second = new PlannedShutdown(createParts({callers, clock})).run();
  const timer = setInterval(() => (nowMs += 1_000), 20);
  await second;
  clearInterval(timer);
  assert.equal(callers.undeliveredCount, 1);
});
