import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {err, ok, type Result} from 'neverthrow';
import {SeededRandom, SystemClock} from '../core/index.js';
import {
  PublishedSource,
  type PublishedDelta,
  type PublishedSnapshot,
  type SourceError,
} from '../registry/index.js';
import {PublishedReader} from './published_reader.js';

/** Time within which an expected state must be reached. */
const PATIENCE_MS = 15_000;

type Answer<T> = Result<T, SourceError>;

const DOWN: SourceError = {type: 'rejected', reason: 'down'};

/** A store whose answers the test decides. */
class FakeSource extends PublishedSource {
  revision = 1;
  isDown = false;
  /** Pending waits get no answer, as on a connection that is gone. */
  isMute = false;
  hasHistory = true;
  readAllCount = 0;
  waitCount = 0;
  closeCount = 0;
  private readonly waiting = new Set<(error: SourceError) => void>();

  override async readAll(): Promise<Answer<PublishedSnapshot>> {
    this.readAllCount += 1;
    this.hasHistory = true;
    return this.isDown
      ? err(DOWN)
      : ok({revision: this.revision, routes: undefined, targets: []});
  }

  override waitForChanges(after: number): Promise<Answer<PublishedDelta>> {
    this.waitCount += 1;
    return new Promise(resolve => {
      const timer = setInterval(() => {
        if (this.isDown) {
          finish(err(DOWN));
        } else if (!this.hasHistory) {
          finish(err({type: 'history-lost', reason: 'compacted'}));
        } else if (!this.isMute && this.revision > after) {
          const {revision} = this;
          finish(ok({afterRevision: after, revision, changes: []}));
        }
      }, 5);
      const finish = (answer: Answer<PublishedDelta>): void => {
        clearInterval(timer);
        this.waiting.delete(fail);
        resolve(answer);
      };
      const fail = (error: SourceError): void => finish(err(error));
      this.waiting.add(fail);
    });
  }

  override async check(): Promise<Answer<number>> {
    return this.isDown ? err(DOWN) : ok(this.revision);
  }

  override close(): void {
    this.closeCount += 1;
    this.isMute = false;
    for (const fail of [...this.waiting]) {
      fail({type: 'unreachable', reason: 'closed'});
    }
  }
}

interface Fixture {
  readonly source: FakeSource;
  readonly reader: PublishedReader;
  readonly failing: boolean[];
  /** Position that the reader has delivered. */
  readonly position: () => number;
  readonly confirmedCount: () => number;
}

function start(t: TestContext): Fixture {
  const source = new FakeSource();
  const failing: boolean[] = [];
  let revision = 0;
  let confirmedCount = 0;
  const reader = new PublishedReader({
    source,
    clock: new SystemClock(),
    random: new SeededRandom({seed: 2}),
    revision: () => revision,
    listener: {
      onSnapshot: snapshot => (revision = snapshot.revision),
      onDelta: delta => (revision = delta.revision),
      onConfirmed: () => (confirmedCount += 1),
      onFailing: isFailing => failing.push(isFailing),
    },
  });
  t.after(() => reader.setActive(false));
  reader.setActive(true);
  const position = (): number => revision;
  return {
    source,
    reader,
    failing,
    position,
    confirmedCount: () => confirmedCount,
  };
}

async function until(check: () => boolean): Promise<void> {
  const endMs = Date.now() + PATIENCE_MS;
  while (!check()) {
    assert.ok(Date.now() < endMs, 'the expected state was not reached');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

test('everything is read once, then changes as they come', async t => {
  // Guards against reads of everything where a wait would do.
  const {source, position, confirmedCount} = start(t);
  await until(() => position() === 1 && source.waitCount === 1);
  source.revision = 4;
  await until(() => position() === 4);
  await until(() => confirmedCount() >= 3);
  assert.equal(source.readAllCount, 1);
});

test('a lost history leads to a read of everything', async t => {
  // Guards against changes that were dropped with the history.
  const {source, position} = start(t);
  await until(() => source.waitCount === 1);
  source.revision = 9;
  source.hasHistory = false;
  await until(() => position() === 9);
  assert.equal(source.readAllCount, 2);
});

test('a wait that does not deliver what the store has is given up', async t => {
  // Guards against a connection on which no answer will ever come.
  const {source, position} = start(t);
  await until(() => source.waitCount === 1);
  source.isMute = true;
  source.revision = 5;
  await until(() => position() === 5);
  assert.ok(source.closeCount >= 1);
});

test('failing and recovery are reported once each', async t => {
  // Guards against peers that rely on a reader without a store.
  const {source, failing, position} = start(t);
  await until(() => source.waitCount === 1);
  source.isDown = true;
  await until(() => failing.length === 1);
  source.revision = 3;
  source.isDown = false;
  await until(() => position() === 3 && failing.length === 2);
  assert.deepEqual(failing, [true, false]);
});

test('a VM that stops reading makes no further call', async t => {
  // Guards against calls of VMs that have no duty to read.
  const {source, reader} = start(t);
  await until(() => source.waitCount === 1);
  reader.setActive(false);
  const before = reader.calls;
  await new Promise(resolve => setTimeout(resolve, 600));
  assert.equal(reader.calls, before);
});
