import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  DeliveryModel,
  type DeliveryFigures,
  type DeliveryScenario,
  type LoadSource,
} from './delivery_model.js';

const SCENARIO: DeliveryScenario = {
  seed: 7_101,
  vmCount: 8,
  targetCount: 10,
  slots: 3,
  workMs: 83,
  objectiveMs: 250,
  requestsPerSecond: 120,
  durationMs: 4_000,
  loadSource: 'none',
  reportIntervalMs: 200,
  slowShare: 0.35,
  slowFactor: 7,
  slowPeriodMs: 500,
};

function run(loadSource: LoadSource): DeliveryFigures {
  return new DeliveryModel({...SCENARIO, loadSource}).run();
}

test('each request of the model has one end', () => {
  // Guards against figures that leave out requests without an answer.
  for (const source of ['none', 'reports', 'asked', 'oracle'] as const) {
    const {asked, inTime, late, refused, failed} = run(source);
    assert.equal(inTime + late + refused + failed, asked, source);
  }
});

test('the same seed gives the same figures', () => {
  // Guards against comparisons that rest on chance.
  assert.deepEqual(run('asked'), run('asked'));
});

test('younger loads serve more callers in time', () => {
  // Guards against a choice of targets that makes no use of what it is told.
  const none = run('none').inTime;
  const asked = run('asked').inTime;
  const oracle = run('oracle').inTime;
  assert.ok(none < asked && asked < oracle, `${none} ${asked} ${oracle}`);
});
