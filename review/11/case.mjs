/** See claim.txt. */
import {Buffer} from 'node:buffer';
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
const SLOT_COUNT = 6;
const ROUND_COUNT = 5;
const CONNECTION_COUNT = 12;
const STABLE_MS = 3_000;
const GRACE_MS = 6_000;
const FIRST_WORK_MS = 790;
const WORK_MS = 30;
const ANSWER_BYTES = 30_000;
const AHEAD_COUNT = 30;
const AHEAD_GAP_MS = 15;
const DEADLINE_MS = 3_000;
const ROUTE_TIMEOUT_MS = 2_500;

/** A requester's connection; answers are matched by their order. */
class Connection {
  sent = [];
  answered = [];
  end = 'open';
  isClosing = false;
  buffered = Buffer.alloc(0);

  async open(front) {
    this.socket = net.connect(front);
    this.socket.on('error', error => {
      this.end = error.code;
    });
    this.socket.on('close', () => {
      this.end = this.end === 'open' ? 'closed' : this.end;
    });
    this.socket.on('data', chunk => this.read(chunk));
    await new Promise(done => this.socket.once('connect', done));
  }

  get isUsable() {
    return this.end === 'open' && !this.isClosing;
  }

  send(id, workMs) {
    this.sent.push({id, ms: Date.now()});
    this.socket.write(
      `GET /frames/${id}?work=${workMs}&size=${ANSWER_BYTES} HTTP/1.1\r\n` +
        `Host: ${ROUTE_HOST}\r\nX-Attempt-Id: ${id}\r\n` +
        `X-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
    );
  }

  read(chunk) {
    this.buffered = Buffer.concat([this.buffered, chunk]);
    for (;;) {
      const headEnd = this.buffered.indexOf('\r\n\r\n');
      if (headEnd < 0) {
        return;
      }
      const head = this.buffered.subarray(0, headEnd).toString('latin1');
      const size = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
      const end = headEnd + 4 + size;
      if (this.buffered.length < end) {
        return;
      }
      this.buffered = this.buffered.subarray(end);
      this.isClosing ||= /^connection: close$/im.test(head);
      this.answered.push(head.slice(9, 12));
    }
  }
}

/** Sends a slow request and further ones behind it, until told to stop. */
async function sendAhead(connection, name) {
  connection.send(`${name}-1`, FIRST_WORK_MS);
  for (let i = 2; i <= AHEAD_COUNT + 1; i += 1) {
    await sleep(AHEAD_GAP_MS);
    if (!connection.isUsable) {
      break;
    }
    connection.send(`${name}-${i}`, WORK_MS);
  }
  await sleep(FIRST_WORK_MS + 1_500);
}

await runCase(
  import.meta.url,
  async ({record, processes, store, hasTrouble}) => {
    await store.listen('127.0.0.1');
    const servers = [];
    for (let i = 1; i <= SERVER_COUNT; i += 1) {
      const server = new Server(processes, store, {
        host: '127.0.0.1',
        service: 'scan-vault',
        slots: SLOT_COUNT,
        name: i,
      });
      await server.start();
      servers.push(server);
    }
    const timeout = `${ROUTE_TIMEOUT_MS}ms`;
    const rule = ruleOf('/frames/', 'safe', 'scan-vault', {timeout});
    store.put('op/config', configOf(1, [rule], ['scan-vault']));

    let sentCount = 0;
    let answeredCount = 0;
    const lost = [];
    for (let round = 1; round <= ROUND_COUNT; round += 1) {
      const entry = await startSingleEntry(processes, store);
      await sleep(STABLE_MS + 1_000);
      const connections = [];
      for (let i = 1; i <= CONNECTION_COUNT; i += 1) {
        const connection = new Connection();
        await connection.open(entry.front);
        connection.send(`r${round}-${i}-0`, WORK_MS);
        connections.push(connection);
      }
      await sleep(300);
      if (hasTrouble) {
        record.add(`round ${round}: SIGTERM`);
        entry.child.kill('SIGTERM');
      }
      const termMs = Date.now();
      await sleep(100);
      await Promise.all(
        connections.map((each, i) => sendAhead(each, `r${round}-${i + 1}`)),
      );
      const runs = new Set(
        servers
          .flatMap(({events}) => events)
          .filter(({type}) => type === 'run')
          .map(({request}) => request),
      );
      for (const {sent, answered, end, socket} of connections) {
        sentCount += sent.length;
        answeredCount += answered.length;
        const unanswered = sent.slice(answered.length);
        const cut = unanswered.filter(({id}) => end !== 'open' && runs.has(id));
        lost.push(...cut);
        const ids = cut.map(({id}) => id).join(' ');
        record.add(
          `round ${round}: sent ${sent.length}, answered ${answered.length} ` +
            `(${[...new Set(answered)].join(' ')}), connection ${end}, ` +
            `run at a server and not answered: ${ids || 'none'}`,
        );
        socket.destroy();
      }
      record.add(`round ${round}: ended ${Date.now() - termMs} ms after`);
      if (!hasTrouble) {
        entry.child.kill('SIGTERM');
      }
      await sleep(Math.max(0, termMs + GRACE_MS + 1_000 - Date.now()));
    }
    const summary =
      `${sentCount} requests sent, ${answeredCount} answered; ${lost.length} ` +
      'were read, passed on and run, and their connection ended without an answer';
    return {isBroken: lost.length > 0, summary};
  },
);
