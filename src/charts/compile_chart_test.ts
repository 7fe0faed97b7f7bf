import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ChartError, compileChart} from './index.js';

type State = 'off' | 'on';
type Event = 'press' | 'reset';

const chart = compileChart<State, Event>({
  id: 'lamp',
  initial: 'off',
  states: {
    off: {on: {press: 'on'}, meta: {lit: false}},
    on: {on: {press: 'off', reset: 'off'}, meta: {lit: true}},
  },
});

test('follows the transitions of the file', () => {
  // Guards against a table that differs from the chart file.
  assert.equal(chart.initial, 'off');
  assert.equal(chart.next('off', 'press'), 'on');
  assert.equal(chart.next('on', 'reset'), 'off');
  assert.deepEqual(chart.metaOf('on'), {lit: true});
});

test('refuses an event that the state does not allow', () => {
  // Guards against impossible steps that pass silently.
  assert.equal(chart.accepts('off', 'reset'), false);
  assert.throws(() => chart.next('off', 'reset'), ChartError);
});

test('refuses a file that names an unknown state', () => {
  assert.throws(
    () =>
      compileChart<State, Event>({
        id: 'broken',
        initial: 'off',
        states: {off: {on: {press: 'missing' as State}}, on: {}},
      }),
    ChartError,
  );
});
