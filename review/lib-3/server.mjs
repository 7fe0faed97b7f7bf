/**
 * Server stand-in as a process of its own. Writes its port and each event as a
 * line of JSON. A request's path may carry `work` (milliseconds until the
 * answer), `size` (bytes of the answer) and `pace` (milliseconds over which the
 * answer is written).
 *
 * Usage: server.mjs HOST ID [SLOTS] [PORT] [BROKEN_OFF]; if given, each
 * BROKEN_OFF-th answer is broken off halfway
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import http from 'node:http';

const [host, id, slotText = '3', portText = '0', brokenOffText = '0'] =
  process.argv.slice(2);
const slots = Number(slotText);
const brokenOff = Number(brokenOffText);
let answerCount = 0;
const MAX_QUEUE = 6;
const PIECES = 32;
const running = new Set();
const queue = [];

function record(event) {
  process.stdout.write(`${JSON.stringify({at: Date.now(), ...event})}\n`);
}

function attemptIdOf(request) {
  return request.headers['x-attempt-id'];
}

function headers(request, extra = {}) {
  const attemptId = request.headers['x-attempt-id'];
  return {
    ...(attemptId === undefined ? {} : {'x-attempt-id': attemptId}),
    'x-server-seal': `${id}.${attemptId ?? 'none'}`,
    'x-server-load': `${running.size},${queue.length},${slots},100`,
    'keep-alive': 'timeout=10',
    ...extra,
  };
}

function refuse(request, response, status) {
  request.resume();
  response.writeHead(
    status,
    headers(request, {'x-not-run': '1', 'content-length': 0}),
  );
  response.end();
}

function startNext() {
  while (running.size < slots && queue.length > 0) {
    run(queue.shift());
  }
}

function run(job) {
  const {request, response, url} = job;
  running.add(job);
  record({type: 'run', server: id, request: attemptIdOf(request)});
  response.on('close', () => {
    clearTimeout(job.timer);
    running.delete(job);
    const type = response.writableFinished ? 'done' : 'stopped';
    record({type, server: id, request: attemptIdOf(request)});
    startNext();
  });
  const workMs = Number(url.searchParams.get('work') ?? 30);
  job.timer = setTimeout(() => answer(job), workMs);
}

function answer(job) {
  const {request, response, url} = job;
  const size = Number(url.searchParams.get('size') ?? 400);
  const paceMs = Number(url.searchParams.get('pace') ?? 0);
  record({
    type: 'answer',
    server: id,
    request: request.headers['x-attempt-id'],
  });
  response.writeHead(200, headers(request, {'content-length': size}));
  answerCount += 1;
  const isBrokenOff = brokenOff > 0 && answerCount % brokenOff === 0;
  if (isBrokenOff && paceMs === 0) {
    response.write(Buffer.alloc(Math.floor(size / 2), 'x'), () =>
      response.destroy(),
    );
    return;
  }
  if (paceMs === 0) {
    response.end(Buffer.alloc(size, 'x'));
    return;
  }
  const piece = Buffer.alloc(Math.ceil(size / PIECES), 'x');
  let left = size;
  const write = () => {
    if (isBrokenOff && left <= size / 3) {
      record({type: 'broken-off', server: id, request: attemptIdOf(request)});
      response.destroy();
      return;
    }
    const part = piece.subarray(0, Math.min(left, piece.length));
    left -= part.length;
    if (left === 0) {
      response.end(part);
      return;
    }
    response.write(part);
    job.timer = setTimeout(write, paceMs / PIECES);
  };
  write();
}

const server = http.createServer((request, response) => {
  const url = new URL(request.url, 'http://server');
  if (url.pathname === '/healthz') {
    response.writeHead(200, {
      'x-instance-id': id,
      'x-server-load': `${running.size},${queue.length},${slots},100`,
      'content-length': 0,
    });
    response.end();
    return;
  }
  if (request.headers['x-attempt-id'] === undefined) {
    refuse(request, response, 400);
    return;
  }
  if ((request.headers['x-expect-instance'] ?? id) !== id) {
    refuse(request, response, 421);
    return;
  }
  const job = {request, response, url, timer: undefined};
  request.resume();
  request.on('end', () => {
    if (queue.length >= MAX_QUEUE) {
      refuse(request, response, 503);
      return;
    }
    queue.push(job);
    startNext();
  });
});
server.keepAliveTimeout = 10_000;
server.listen(Number(portText), host, () =>
  record({type: 'listening', server: id, port: server.address().port}),
);
