/**
 * Callers outside the limits, for tests: connections that send bodies
 * without an end, bodies far over the limit, or requests whose answers they do
 * not read. All connections stay open until {@link HostileCallers.close}.
 *
 * @packageDocumentation
 */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Interval at which {@link HostileCallers.settle} looks for progress. */
const SETTLE_INTERVAL_MS = 500;

/** Intervals without progress after which the callers have settled. */
const SETTLED_INTERVALS = 3;

/** Longest time for which the callers may make progress. */
const MAX_SETTLE_MS = 60_000;

/** What one connection sends. */
export interface HostileCaller {
  /** Sent first. */
  readonly head: string;
  /** Sent over and over after the head. */
  readonly part: Buffer;
  readonly partCount: number;
  /** Whether to read answers. */
  readonly isReading: boolean;
}

/** Connections that send as fast as the daemon reads. */
export class HostileCallers {
  private readonly sockets: Socket[] = [];
  private sentBytes = 0;
  private closedCount = 0;
  private openedCount = 0;

  /** @param address - host and port of the daemon */
  constructor(
    private readonly address: {readonly host: string; readonly port: number},
  ) {}

  /** Number of connections that were opened. */
  get connectedCount(): number {
    return this.openedCount;
  }

  /** Opens connections that send the same. */
  add(count: number, caller: HostileCaller): void {
    for (let i = 0; i < count; i += 1) {
      this.open(caller);
    }
  }

  /** Waits until no connection sends, is closed or opens any more. */
  async settle(): Promise<void> {
    const endMs = Date.now() + MAX_SETTLE_MS;
    let quietCount = 0;
    let before = '';
    while (quietCount < SETTLED_INTERVALS && Date.now() < endMs) {
      await sleep(SETTLE_INTERVAL_MS);
      const progress = `${this.openedCount} ${this.sentBytes} ${this.closedCount}`;
      quietCount = progress === before ? quietCount + 1 : 0;
      before = progress;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private open({head, part, partCount, isReading}: HostileCaller): void {
    const socket = connect(this.address);
    this.sockets.push(socket);
    let remaining = partCount;
    const send = (): void => {
      while (remaining > 0 && socket.writable) {
        remaining -= 1;
        this.sentBytes += part.length;
        if (!socket.write(part)) {
          return;
        }
      }
    };
    socket.on('error', () => undefined);
    socket.on('connect', () => (this.openedCount += 1));
    socket.on('close', () => (this.closedCount += 1));
    socket.on('drain', send);
    if (isReading) {
      socket.resume();
    } else {
      socket.pause();
    }
    socket.write(head);
    send();
  }
}

/** Path and size of the requests. */
export interface RequestTarget {
  readonly host: string;
  readonly path: string;
  /** Most bytes of a body that the daemon accepts. */
  readonly maxBodyBytes: number;
}

/** Chunked bodies in large chunks that stop just short of the limit. */
export function largeChunks(target: RequestTarget): HostileCaller {
  const part = chunkOf(64 * 1024);
  const partCount = Math.floor(target.maxBodyBytes / (64 * 1024)) - 1;
  return {head: chunkedHead(target), part, partCount, isReading: true};
}

/** Chunked bodies of 300,000 chunks of one byte, without an end. */
export function tinyChunks(target: RequestTarget): HostileCaller {
  const part = Buffer.concat(Array.from({length: 1_000}, () => chunkOf(1)));
  return {head: chunkedHead(target), part, partCount: 300, isReading: true};
}

/** Chunked bodies of three times the limit. */
export function unannouncedExcess(target: RequestTarget): HostileCaller {
  const part = chunkOf(64 * 1024);
  const partCount = Math.ceil((3 * target.maxBodyBytes) / (64 * 1024));
  return {head: chunkedHead(target), part, partCount, isReading: true};
}

/** Bodies whose announced length is ten times the limit. */
export function announcedExcess(target: RequestTarget): HostileCaller {
  const part = Buffer.alloc(64 * 1024, 'x');
  const partCount = Math.ceil((10 * target.maxBodyBytes) / part.length);
  const head = headOf(target, `content-length: ${10 * target.maxBodyBytes}`);
  return {head, part, partCount, isReading: true};
}

/** Bodies of the announced length less one byte. */
export function announcedAndStalled(target: RequestTarget): HostileCaller {
  const part = Buffer.alloc(64 * 1024, 'x');
  const partCount = Math.floor(target.maxBodyBytes / part.length) - 1;
  const length = partCount * part.length + 1;
  const head = headOf(target, `content-length: ${length}`);
  return {head, part, partCount, isReading: true};
}

/** Heads that end before their last line. */
export function unfinishedHeads(target: RequestTarget): HostileCaller {
  const head = `POST ${target.path} HTTP/1.1\r\nhost: ${target.host}\r\n`;
  const part = Buffer.alloc(0);
  return {head, part, partCount: 0, isReading: true};
}

/** Pipelined requests of which no answer is read. */
export function unreadAnswers(target: RequestTarget): HostileCaller {
  const request = `GET ${target.path} HTTP/1.1\r\nhost: ${target.host}\r\n\r\n`;
  const part = Buffer.from(request);
  return {head: '', part, partCount: 60, isReading: false};
}

function chunkedHead(target: RequestTarget): string {
  return headOf(target, 'transfer-encoding: chunked');
}

function headOf({host, path}: RequestTarget, field: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: ${host}\r\n${field}\r\n\r\n`;
}

function chunkOf(sizeBytes: number): Buffer {
  const data = 'x'.repeat(sizeBytes);
  return Buffer.from(`${sizeBytes.toString(16)}\r\n${data}\r\n`);
}
