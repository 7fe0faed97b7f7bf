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

test('the compiled table has the transitions of the file', () => {
  // Guards against a table that differs from the chart file.
  assert.equal(chart.initial, 'off');
  assert.equal(chart.next('off', 'press'), 'on');
  assert.equal(chart.next('on', 'reset'), 'off');
  assert.deepEqual(chart.metaOf('on'), {lit: true});
});

test('an event that the state does not allow throws', () => {
  // Guards against invalid transitions that go unnoticed.
  assert.equal(chart.accepts('off', 'reset'), false);
  assert.throws(() => chart.next('off', 'reset'), ChartError);
});

test('a transition to an unknown state throws when the chart is compiled', () => {
  // Guards against a misspelled state that surfaces only at run time.
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
