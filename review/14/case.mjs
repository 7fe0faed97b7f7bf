/** See claim.txt. */
import net from 'node:net';
import {
  configOf,
  ROUTE_HOST,
  ruleOf,
  runCase,
  Server,
  sleep,
  startSingleEntry,
} from '../lib-3/standins.mjs';

const SERVER_COUNT = 12;
const REQUESTER_COUNT = 20;
const ROUND_COUNT = 10;
const ROUND_MS = 3_000;
const LEAVING_SHARE = 0.3;
const LEAVES_AFTER_MS = 500;
const LONG_WORK_MS = 1_500;
const SHORT_WORK_MS = 40;
const ANSWER_BYTES = 5_000;
const FOLLOWER_COUNT = 8;
const FOLLOWER_GAP_MS = 45;
const LATE_MS = 500;
const MAX_SHARE = 1 / 4;
const MAX_LATE_ARRIVALS = 3;

function write(socket, id, workMs) {
  socket.write(
    `GET /frames/${id}?work=${workMs}&size=${ANSWER_BYTES} HTTP/1.1\r\n` +
      `Host: ${ROUTE_HOST}\r\nX-Attempt-Id: ${id}\r\n` +
      'X-Deadline-Ms: 4000\r\n\r\n',
  );
}

/** One visit of a requester; every second one sends requests ahead. */
async function visit(entry, {name, sendsAhead, leaves, record, leftMs}) {
  const socket = net.connect(entry.front);
  socket.on('error', () => undefined);
  let received = 0;
  socket.on('data', chunk => {
    received += chunk.length;
  });
  await new Promise(done => socket.once('connect', done));
  const ids = [`${name}-1`];
  write(socket, ids[0], LONG_WORK_MS);
  const endMs = Date.now() + LEAVES_AFTER_MS;
  if (sendsAhead) {
    for (let i = 0; i < FOLLOWER_COUNT; i += 1) {
      await sleep(FOLLOWER_GAP_MS);
      ids.push(`${name}-${i + 2}`);
      write(socket, ids.at(-1), SHORT_WORK_MS);
    }
  }
  await sleep(Math.max(0, endMs - Date.now()));
  if (leaves) {
    ids.forEach(id => leftMs.set(id, Date.now()));
    socket.destroy();
    record.add(`${name} left; had sent ${ids.length}, got ${received} bytes`);
    return;
  }
  await sleep(LONG_WORK_MS);
  record.add(`${name} stayed; had sent ${ids.length}, got ${received} bytes`);
  socket.destroy();
}

await runCase(
  import.meta.url,
  async ({record, processes, store, hasTrouble}) => {
    await store.listen('127.0.0.1');
    const servers = [];
    for (let i = 1; i <= SERVER_COUNT; i += 1) {
      const options = {host: '127.0.0.1', service: 'scan-vault', name: i};
      const server = new Server(processes, store, options);
      await server.start();
      servers.push(server);
    }
    const rule = ruleOf('/frames/', 'safe', 'scan-vault', {timeout: '2500ms'});
    store.put('op/config', configOf(1, [rule], ['scan-vault']));
    const entry = await startSingleEntry(processes, store);
    await sleep(4_000);

    const leftMs = new Map();
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      const visits = [];
      for (let i = 0; i < REQUESTER_COUNT; i += 1) {
        // Three of ten leave, of those that send ahead and of the others alike.
        const place = Math.floor(i / 2) + round;
        const leaves = hasTrouble && place % 10 < LEAVING_SHARE * 10;
        const sendsAhead = i % 2 === 0;
        const name = `v${round}-${i}${sendsAhead ? 'a' : 's'}`;
        visits.push(visit(entry, {name, sendsAhead, leaves, record, leftMs}));
        await sleep(20);
      }
      await Promise.all(visits);
      await sleep(ROUND_MS - LONG_WORK_MS - LEAVES_AFTER_MS);
    }

    const events = servers.flatMap(server => server.events);
    const runs = events.filter(({type}) => type === 'run');
    const stops = new Map(
      events
        .filter(({type}) => type === 'stopped' || type === 'done')
        .map(({request, server, at}) => [`${request} ${server}`, at]),
    );
    let long = 0;
    const late = {a: 0, s: 0};
    let lateArrivals = 0;
    for (const {request, server, at} of runs) {
      const left = leftMs.get(request);
      if (left === undefined) {
        continue;
      }
      lateArrivals += Number(at > left + LATE_MS);
      const workMs = request.endsWith('-1') ? LONG_WORK_MS : SHORT_WORK_MS;
      if (at > left || at + workMs <= left + LATE_MS) {
        continue;
      }
      long += 1;
      const stopped = stops.get(`${request} ${server}`) ?? Infinity;
      if (stopped > left + LATE_MS) {
        late[request.includes('a-') ? 'a' : 's'] += 1;
        record.add(`${request} still at work ${stopped - left} ms after`);
      }
    }
    const lateCount = late.a + late.s;
    const isBroken =
      lateCount > long * MAX_SHARE || lateArrivals > MAX_LATE_ARRIVALS;
    const summary =
      `${runs.length} runs; ${long} would have lasted ${LATE_MS} ms longer than ` +
      `their requester; at ${lateCount} the server was still at work then ` +
      `(${late.a} of requesters that had sent further requests, ${late.s} ` +
      `others); ${lateArrivals} requests arrived later`;
    return {isBroken, summary};
  },
);
