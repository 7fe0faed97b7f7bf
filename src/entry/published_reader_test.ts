import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {err, ok, type Result} from 'neverthrow';
import {SeededRandom, SystemClock} from '../core/index.js';
import {
  PublishedSource,
  type PublishedDelta,
  type PublishedSnapshot,
  type SourceError,
  type StorePosition,
} from '../registry/index.js';
import {publishedDelta, publishedSnapshot} from '../registry/target_fixture.js';
import {PublishedReader} from './published_reader.js';

/** Time in milliseconds within which an expected state must be reached. */
const STATE_TIMEOUT_MS = 15_000;

type Answer<T> = Result<T, SourceError>;

const DOWN: SourceError = {type: 'rejected', reason: 'down'};

/** A store whose responses the test controls. */
class FakeSource extends PublishedSource {
  revision = 1;
  isDown = false;
  /** Pending waits get no response, as on a lost connection. */
  isStalled = false;
  hasHistory = true;
  readAllCount = 0;
  waitCount = 0;
  closeCount = 0;
  private readonly failPendingWaits = new Set<(error: SourceError) => void>();

  override async readAll(): Promise<Answer<PublishedSnapshot>> {
    this.readAllCount += 1;
    this.hasHistory = true;
    return this.isDown ? err(DOWN) : ok(publishedSnapshot(this.revision));
  }

  override waitForChanges({
    revision: after,
  }: StorePosition): Promise<Answer<PublishedDelta>> {
    this.waitCount += 1;
    return new Promise(resolve => {
      const timer = setInterval(() => {
        if (this.isDown) {
          finish(err(DOWN));
        } else if (!this.hasHistory) {
          finish(err({type: 'history-lost', reason: 'compacted'}));
        } else if (!this.isStalled && this.revision > after) {
          const {revision} = this;
          finish(ok(publishedDelta(revision, {afterRevision: after})));
        }
      }, 5);
      const finish = (answer: Answer<PublishedDelta>): void => {
        clearInterval(timer);
        this.failPendingWaits.delete(fail);
        resolve(answer);
      };
      const fail = (error: SourceError): void => finish(err(error));
      this.failPendingWaits.add(fail);
    });
  }

  override async check(): Promise<Answer<StorePosition>> {
    const {revision} = this;
    return this.isDown ? err(DOWN) : ok({era: 1, revision});
  }

  override close(): void {
    this.closeCount += 1;
    this.isStalled = false;
    for (const fail of [...this.failPendingWaits]) {
      fail({type: 'unreachable', reason: 'closed'});
    }
  }
}

interface Fixture {
  readonly source: FakeSource;
  readonly reader: PublishedReader;
  readonly readStatusChanges: boolean[];
  /** Returns the revision that the reader has delivered. */
  readonly position: () => number;
  readonly confirmedCount: () => number;
}

function startReader(t: TestContext): Fixture {
  const source = new FakeSource();
  const readStatusChanges: boolean[] = [];
  let revision = 0;
  let confirmedCount = 0;
  const reader = new PublishedReader({
    source,
    clock: new SystemClock(),
    random: new SeededRandom({seed: 2}),
    position: () => ({era: revision === 0 ? 0 : 1, revision}),
    role: () => ({isAssigned: true, fleetSize: 1}),
    listener: {
      onSnapshot: snapshot => (revision = snapshot.revision),
      onDelta: delta => (revision = delta.revision),
      onConfirmed: () => (confirmedCount += 1),
      onReadStatusChanged: isFailing => readStatusChanges.push(isFailing),
    },
  });
  t.after(() => reader.setActive(false));
  reader.setActive(true);
  const position = (): number => revision;
  return {
    source,
    reader,
    readStatusChanges,
    position,
    confirmedCount: () => confirmedCount,
  };
}

async function waitUntil(check: () => boolean): Promise<void> {
  const endMs = Date.now() + STATE_TIMEOUT_MS;
  while (!check()) {
    assert.ok(Date.now() < endMs, 'the expected state was not reached');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

test('a full read happens once, followed by incremental changes', async t => {
  // A full read must not be repeated where a wait for changes is enough.
  const {source, position, confirmedCount} = startReader(t);
  await waitUntil(() => position() === 1 && source.waitCount === 1);
  source.revision = 4;
  await waitUntil(() => position() === 4);
  await waitUntil(() => confirmedCount() >= 3);
  assert.equal(source.readAllCount, 1);
});

test('a compacted history leads to a full read', async t => {
  // Changes that the store has dropped with its history must not be missed.
  const {source, position} = startReader(t);
  await waitUntil(() => source.waitCount === 1);
  source.revision = 9;
  source.hasHistory = false;
  await waitUntil(() => position() === 9);
  assert.equal(source.readAllCount, 2);
});

test('a wait that does not deliver a newer revision is aborted', async t => {
  // A lost connection leaves the wait pending, while checks on other
  // connections show a newer revision.
  const {source, position} = startReader(t);
  await waitUntil(() => source.waitCount === 1);
  source.isStalled = true;
  source.revision = 5;
  await waitUntil(() => position() === 5);
  assert.ok(source.closeCount >= 1);
});

test('read failure and recovery are reported once each', async t => {
  // Peers must not rely on a reader that cannot reach the store.
  const {source, readStatusChanges, position} = startReader(t);
  await waitUntil(() => source.waitCount === 1);
  source.isDown = true;
  await waitUntil(() => readStatusChanges.length === 1);
  source.revision = 3;
  source.isDown = false;
  await waitUntil(() => position() === 3 && readStatusChanges.length === 2);
  assert.deepEqual(readStatusChanges, [true, false]);
});

test('a reader that is deactivated makes no further calls', async t => {
  // Only the readers of the fleet may call the store.
  const {source, reader} = startReader(t);
  await waitUntil(() => source.waitCount === 1);
  reader.setActive(false);
  const before = reader.callCount;
  await new Promise(resolve => setTimeout(resolve, 600));
  assert.equal(reader.callCount, before);
});
