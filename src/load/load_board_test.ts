import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/index.js';
import type {KnownTarget} from '../registry/index.js';
import {knownTarget} from '../registry/target_fixture.js';
import {
  chooseTarget,
  costOf,
  expectedDurationMs,
  LoadBoard,
  type RequestNeeds,
  type TargetForecast,
} from './index.js';

function boardOf(...targets: KnownTarget[]): LoadBoard {
  const board = new LoadBoard({failureDomain: 'a'});
  board.syncTargets(new Map(targets.map(each => [each.targetId, each])));
  return board;
}

function forecastOf(
  board: LoadBoard,
  id: string,
  nowMs: number,
): TargetForecast {
  const options = {service: 's', workMs: 100, excludedTargetIds: []};
  const found = board
    .forecasts(options, nowMs)
    .find(({targetId}) => targetId === id);
  assert.ok(found !== undefined, `${id} is not open`);
  return found;
}

const NEEDS: RequestNeeds = {
  timeToObjectiveMs: 400,
  objectiveMs: 400,
  timeToDeadlineMs: 1200,
  sizeKb: 5,
  maxExcessCount: 3,
};

test('attempts of this VM count on top of a report only if they started after it', () => {
  // Guards against a report that hides attempts started since.
  const board = boardOf(knownTarget('x'));
  board.onSent('x', 0);
  board.onEnded('x', 'answered', 50);
  const load = {running: 2, waiting: 0, slots: 6, slowness: 1};
  board.onLoadReport('x', {...load, measuredMs: 100});
  board.onSent('x', 110);
  board.onSent('x', 120);
  assert.ok(Math.abs(forecastOf(board, 'x', 121).freeSlots - 2) < 0.2);
});

test('an older report never replaces a newer one', () => {
  // Guards against reports of peers that arrive out of order.
  const board = boardOf(knownTarget('x'));
  const load = {running: 6, waiting: 2, slots: 6, slowness: 3};
  board.onLoadReport('x', {...load, measuredMs: 200});
  board.onLoadReport('x', {...load, running: 0, waiting: 0, measuredMs: 150});
  assert.equal(forecastOf(board, 'x', 200).freeSlots, 0);
});

test('draining and removed targets get no forecast', () => {
  // Guards against requests to targets that shut down.
  const board = boardOf(knownTarget('x'), knownTarget('y', {draining: true}));
  const options = {service: 's', workMs: 100, excludedTargetIds: []};
  assert.deepEqual(
    board.forecasts(options, 0).map(({targetId}) => targetId),
    ['x'],
  );
  board.onSent('x', 0);
  board.syncTargets(new Map());
  assert.deepEqual(board.forecasts(options, 1), []);
  assert.equal(board.target('x')?.targetId, 'x');
  board.onEnded('x', 'answered', 2);
  assert.equal(board.target('x'), undefined);
});

test('a local connection failure outweighs a successful probe by a peer', () => {
  // Guards against sends on a path that is cut while the path of the probing VM
  // is not.
  const board = boardOf(knownTarget('x'));
  board.onSent('x', 0);
  board.onEnded('x', 'unreachable', 10);
  const report = {
    targetId: 'x',
    running: 0,
    waiting: 0,
    slots: 6,
    slowness: 1,
    ageMs: 5,
    failureShare: 0,
    isReachable: true,
  };
  board.onPeerReport(report, 20);
  assert.ok(forecastOf(board, 'x', 30).failureShare > 0.9);
  assert.ok(forecastOf(board, 'x', 5_000).failureShare < 0.1);
});

test('failed attempts of peers raise the failure share of a target', () => {
  // Guards against a failing target that each VM must discover by itself.
  const board = boardOf(knownTarget('x'), knownTarget('y'));
  const outcome = {targetId: 'x', answeredCount: 2, failedCount: 6};
  board.onPeerOutcomes(outcome, 0);
  assert.ok(forecastOf(board, 'x', 0).failureShare > 0.5);
  assert.equal(forecastOf(board, 'y', 0).failureShare, 0);
});

test('a forecast grows with work, load and slowness, and at any age covers the work', () => {
  // Guards against forecasts that attract requests to slow or full targets.
  const base = fc.record({
    workMs: fc.integer({min: 1, max: 1000}),
    inFlight: fc.integer({min: 0, max: 20}),
    slots: fc.integer({min: 1, max: 8}),
    slowness: fc.double({min: 1, max: 9, noNaN: true}),
    ageMs: fc.integer({min: 0, max: 2000}),
    meanSlowness: fc.double({min: 1, max: 3, noNaN: true}),
    isCold: fc.boolean(),
  });
  fc.assert(
    fc.property(base, inputs => {
      const durationMs = expectedDurationMs(inputs);
      const epsilon = 1e-6;
      assert.ok(durationMs >= inputs.workMs - epsilon);
      const fuller = {...inputs, inFlight: inputs.inFlight + 1};
      assert.ok(expectedDurationMs(fuller) >= durationMs - epsilon);
      const longer = {...inputs, workMs: inputs.workMs * 2};
      assert.ok(expectedDurationMs(longer) > durationMs);
      const slower = {...inputs, slowness: inputs.slowness + 1};
      assert.ok(expectedDurationMs(slower) >= durationMs - epsilon);
    }),
    {seed: 41},
  );
});

test('the local failure domain is preferred unless it misses the objective', () => {
  // Guards against needless traffic between failure domains, and against late
  // answers to avoid it.
  const fast = forecastOf(boardOf(knownTarget('x')), 'x', 0);
  const near = {...fast, targetId: 'near', durationMs: 140};
  const far = {...fast, targetId: 'far', durationMs: 120, isLocalDomain: false};
  assert.ok(costOf(near, NEEDS) < costOf(far, NEEDS));
  const slowNear = {...near, durationMs: 380};
  assert.ok(costOf(slowNear, NEEDS) > costOf(far, NEEDS));
});

test('an old report of a fast target costs more than a recent one', () => {
  // Guards against sends to targets that have become slow since their report.
  const board = boardOf(knownTarget('old'), knownTarget('young'));
  const load = {running: 0, waiting: 0, slots: 6};
  for (let index = 0; index < 300; index += 1) {
    const slowness = index % 3 === 0 ? 7 : 1;
    board.onLoadReport('old', {...load, slowness, measuredMs: index});
  }
  board.onLoadReport('old', {...load, slowness: 1, measuredMs: 1000});
  board.onLoadReport('young', {...load, slowness: 1, measuredMs: 1300});
  const old = forecastOf(board, 'old', 1300);
  const young = forecastOf(board, 'young', 1300);
  assert.ok(costOf(old, NEEDS) > costOf(young, NEEDS) + 0.1);
  const patient = {...NEEDS, objectiveMs: 4000, objectiveInMs: 4000};
  assert.ok(costOf(old, patient) < costOf(young, patient) + 0.1);
});

test('full targets are never chosen; equal ones are, in proportion to free slots', () => {
  // Guards against VMs that all send to the same target.
  const fast = forecastOf(boardOf(knownTarget('x')), 'x', 0);
  const random = new SeededRandom({seed: 5});
  const full = {...fast, targetId: 'full', excessCount: 4};
  assert.equal(chooseTarget([full], NEEDS, random), undefined);
  const a = {...fast, targetId: 'a', freeSlots: 5};
  const b = {...fast, targetId: 'b', freeSlots: 1};
  let count = 0;
  for (let i = 0; i < 600; i += 1) {
    const choice = chooseTarget([a, b, full], NEEDS, random);
    count += Number(choice?.forecast.targetId === 'a');
  }
  assert.ok(count > 440 && count < 560, `${count} of 600`);
});
