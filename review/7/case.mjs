/**
 * Planned stop of one of two daemons while requesters send further requests
 * before the first one is answered.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createRule} from '../lib-2/config.mjs';
import {Fleet, isReady} from '../lib-2/fleet.mjs';
import {Connection} from '../lib-2/requester.mjs';
import {hasTrouble, runCase} from '../lib-2/run.mjs';
import {Server} from '../lib-2/server.mjs';

const HOST = 'frames.example';
const WORK_MS = 150;
const DEADLINE_MS = 3_000;
const TIMEOUT_MS = 2_500;
const REQUESTER_COUNT = 12;

/** Time between a request and the one that is sent behind it. */
const BEHIND_MS = 20;

/** Time between the answers to a pair and the next pair. */
const PAUSE_MS = 200;

const STEADY_MS = 4_000;
const AFTER_STOP_MS = 7_500;
const GRACE_MS = 6_000;

const runs = new Map();
const requests = [];
let sequence = 0;
let isOver = false;

function newRequest(requester, connection) {
  sequence += 1;
  const record = {
    id: `${process.pid.toString(16)}-${sequence}`,
    method: 'GET',
    path: `/frames/${sequence}`,
    connection: `${requester}/${connection}`,
  };
  requests.push(record);
  return record;
}

/** Opens a connection and sends pairs of requests on it until it is closed. */
async function sendPairs(requester, connectionNumber, address) {
  let wake = () => undefined;
  const connection = new Connection(address, () => wake());
  const options = {host: HOST, deadlineMs: DEADLINE_MS};
  while (!connection.isClosed && !isOver) {
    const first = newRequest(requester, connectionNumber);
    connection.send(first, options);
    await sleep(BEHIND_MS);
    if (!connection.isClosed) {
      connection.send(newRequest(requester, connectionNumber), options);
    }
    while (connection.pending.length > 0 && !connection.isClosed) {
      await new Promise(resolve => (wake = resolve));
    }
    if (first.closes) {
      // The requester respects `Connection: close` and waits for the end.
      while (!connection.isClosed) {
        await new Promise(resolve => (wake = resolve));
      }
    }
    await sleep(PAUSE_MS);
  }
  connection.close();
}

/** Takes a daemon out of rotation after two checks without a 200. */
async function watchRotation(daemon, onOut) {
  let missCount = 0;
  while (!isOver && missCount < 2) {
    missCount = (await isReady(daemon)) ? 0 : missCount + 1;
    await sleep(1_000);
  }
  onOut();
}

async function runRequester(requester, chooseDaemon) {
  for (let number = 1; !isOver; number += 1) {
    await sendPairs(requester, number, chooseDaemon());
  }
}

await runCase('review/7', async (write, onClose) => {
  const servers = ['i-1', 'i-2', 'i-3', 'i-4'].map(
    id =>
      new Server({
        id,
        service: 'scanvault',
        bornMs: Date.now(),
        workMs: () => WORK_MS,
        body: path => `frames of ${path}`.repeat(50),
        onRun: run => runs.set(run.attemptId, {...run, atMs: Date.now()}),
      }),
  );
  const rule = createRule({
    name: 'frame-history',
    kind: 'safe',
    prefix: '/frames/',
    service: 'scanvault',
    sloMs: 300,
    timeoutMs: TIMEOUT_MS,
  });
  const fleet = await Fleet.start({
    config: createConfig({
      version: 1,
      host: HOST,
      rules: [rule],
      services: ['scanvault'],
    }),
    servers,
    daemons: 2,
  });
  onClose(() => fleet.close());
  const [leaving, staying] = fleet.daemons;
  const startMs = Date.now();
  let isInRotation = true;
  void watchRotation(leaving, () => {
    isInRotation = false;
    write(`out of rotation at ${Date.now() - startMs} ms`);
  });
  const requesters = Array.from({length: REQUESTER_COUNT}, (_, each) =>
    runRequester(each, () => (isInRotation ? leaving : staying)),
  );
  await sleep(STEADY_MS);
  const stopMs = Date.now();
  if (hasTrouble) {
    leaving.child.kill('SIGTERM');
    write(`SIGTERM at ${stopMs - startMs} ms`);
  }
  await sleep(AFTER_STOP_MS);
  isOver = true;
  const exitMs = leaving.exitedMs;
  write(`exit at ${exitMs === undefined ? 'no time' : exitMs - startMs} ms`);
  for (const {id, connection, sentMs, ...record} of requests) {
    const end =
      record.status === undefined
        ? `no answer, ${record.closedBy ?? 'open'} at ${(record.closedMs ?? startMs) - startMs}`
        : `${record.status}${record.closes ? ' close' : ''} at ${record.answeredMs - startMs}`;
    const run = runs.get(id);
    const ran =
      run === undefined
        ? 'not run'
        : `run by ${run.server} at ${run.atMs - startMs}`;
    write(`${id} on ${connection} sent ${sentMs - startMs}: ${ran}; ${end}`);
  }
  void Promise.all(requesters);
  const served = requests.filter(({status}) => status === 200);
  write(`${requests.length} requests, ${served.length} served`);
  if (served.length < 100) {
    throw new Error('too few requests were served');
  }
  // Judged: requests around the stop that a server began to run, and whose
  // connection ended without an answer before deadline and timeout.
  return requests
    .filter(
      ({id, status, closedMs, sentMs}) =>
        status === undefined &&
        closedMs !== undefined &&
        runs.has(id) &&
        closedMs - sentMs < TIMEOUT_MS &&
        closedMs >= stopMs &&
        closedMs <= stopMs + GRACE_MS + 1_000,
    )
    .map(
      ({id, sentMs, closedMs}) =>
        `${id}: passed on to ${runs.get(id).server}, connection ended ` +
        `${closedMs - sentMs} ms after it was sent without an answer`,
    );
});
