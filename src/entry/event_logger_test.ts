import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import bunyan from 'bunyan';
import {BufferedOutput} from './buffered_output.js';
import {EventLogger} from './event_logger.js';

interface LogRecord {
  readonly msg: string;
  readonly droppedCount?: number;
}

/** A stream whose writes stay pending until the test completes them. */
class StalledStream extends Writable {
  readonly chunks: string[] = [];
  private readonly pendingWrites: (() => void)[] = [];

  override _write(
    chunk: Buffer,
    _encoding: string,
    onWritten: () => void,
  ): void {
    this.chunks.push(chunk.toString());
    this.pendingWrites.push(onWritten);
  }

  completeWrites(): void {
    this.pendingWrites.splice(0).forEach(done => done());
  }
}

test('lines about requests are rate-limited, and dropped ones are counted', () => {
  // Without a limit, logging uses up the CPU of a VM at peak load.
  const lines: LogRecord[] = [];
  const write = (text: string): void =>
    void lines.push(JSON.parse(text) as LogRecord);
  const stream = {write} as unknown as NodeJS.WritableStream;
  const logger = bunyan.createLogger({name: 'test', streams: [{stream}]});
  let nowMs = 0;
  const events = new EventLogger(logger, () => nowMs);
  for (let i = 0; i < 500; i += 1) {
    events.request('send', {callId: `c${i}`});
  }
  events.info('process', 'leaving');
  nowMs = 1_000;
  events.request('send', {callId: 'later'});
  const sends = lines.filter(({msg}) => msg === 'delivery: send');
  assert.equal(sends.length, 201);
  assert.ok(lines.some(({msg}) => msg === 'process: leaving'));
  const [dropped] = lines.filter(({msg}) => msg === 'log: lines were dropped');
  assert.equal(dropped?.droppedCount, 300);
});

test('a slow reader of the output causes dropped lines, not a growing backlog', () => {
  // A process must not block on its own log, nor buffer it without limit.
  const stream = new StalledStream({highWaterMark: 1});
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
    stream.completeWrites();
  }
  output.write('last\n');
  output.flush();
  while (stream.writableLength > 0) {
    stream.completeWrites();
  }
  assert.match(stream.chunks.join(''), /the reader is slow.*droppedCount/);
});
