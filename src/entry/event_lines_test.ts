import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import bunyan from 'bunyan';
import {BufferedOutput} from './buffered_output.js';
import {EventLines} from './event_lines.js';

interface Line {
  readonly msg: string;
  readonly droppedCount?: number;
}

/** A stream that takes nothing until told to. */
class SlowStream extends Writable {
  readonly chunks: string[] = [];
  private readonly held: (() => void)[] = [];

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.chunks.push(chunk.toString());
    this.held.push(done);
  }

  release(): void {
    this.held.splice(0).forEach(done => done());
  }
}

test('lines of requests are bounded, and what was dropped is counted', () => {
  // Guards against logs that take the processor of a VM at peak load.
  const lines: Line[] = [];
  const write = (text: string): void =>
    void lines.push(JSON.parse(text) as Line);
  const stream = {write} as unknown as NodeJS.WritableStream;
  const logger = bunyan.createLogger({name: 'test', streams: [{stream}]});
  let nowMs = 0;
  const events = new EventLines(logger, () => nowMs);
  for (let i = 0; i < 500; i += 1) {
    events.request('send', {callId: `c${i}`});
  }
  events.state('process', 'leaving');
  nowMs = 1_000;
  events.request('send', {callId: 'later'});
  const sends = lines.filter(({msg}) => msg === 'delivery: send');
  assert.equal(sends.length, 201);
  assert.ok(lines.some(({msg}) => msg === 'process: leaving'));
  const [dropped] = lines.filter(({msg}) => msg === 'log: lines were dropped');
  assert.equal(dropped?.droppedCount, 300);
});

test('a slow reader of the output holds nothing up and costs lines only', () => {
  // Guards against a process that blocks on its own log.
  const stream = new SlowStream({highWaterMark: 1});
  const output = new BufferedOutput(stream);
  const line = `${'x'.repeat(1023)}\n`;
  for (let i = 0; i < 2_000; i += 1) {
    output.write(line);
    if (i % 10 === 0) {
      output.flush();
    }
  }
  assert.ok(stream.writableLength < 300 * 1024);
  while (stream.writableLength > 0) {
    stream.release();
  }
  output.write('last\n');
  output.flush();
  while (stream.writableLength > 0) {
    stream.release();
  }
  assert.match(stream.chunks.join(''), /the reader is slow.*droppedCount/);
});
