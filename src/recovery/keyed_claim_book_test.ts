import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {rendezvousRank, type Verdict} from '../core/index.js';
import {
  KeyedClaimBook,
  RESEND_WINDOW_MS,
  RETENTION_MS,
  SETTLE_GRACE_MS,
  type ClaimAnswer,
  type ClaimRecord,
  type ClaimRequest,
  type Settlement,
} from './index.js';

const LONG_AGO_MS = -1_000_000;

function claimOf(overrides: Partial<ClaimRequest> = {}): ClaimRequest {
  return {
    key: 'k',
    fingerprint: 'f',
    attempt: 1,
    claimantId: 'e-1/a',
    token: 't1',
    deadlineMs: 2_000,
    ...overrides,
  };
}

function settlementOf(verdict: Verdict, token = 't1'): Settlement {
  return {key: 'k', claimantId: 'e-1/a', token, verdict};
}

interface Copy {
  readonly claim: ClaimRequest;
  /** Book that was asked last. */
  book: KeyedClaimBook | undefined;
  fate: 'asked' | 'granted' | 'settled' | 'not-run';
  isAnsweredNotRun: boolean;
}

/** Homes, claimants and callers with one consistent view of the ready VMs. */
class World {
  nowMs = 0;
  readonly books = new Map<string, KeyedClaimBook>();
  /** Copies by key. */
  readonly copies = new Map<string, Copy[]>();
  private readonly firstCopyMs = new Map<string, number>();
  private readonly delayed: Settlement[] = [];
  private count = 0;

  constructor() {
    for (const vmId of ['e-1', 'e-2', 'e-3']) {
      this.books.set(vmId, new KeyedClaimBook({startMs: LONG_AGO_MS}));
    }
  }

  private homeOf(key: string): KeyedClaimBook {
    const [vmId] = rendezvousRank(key, [...this.books.keys()]);
    return this.books.get(vmId!)!;
  }

  /** A caller sends a copy and the entry VM asks for a claim. */
  send(keyIndex: number, hidesCount: boolean, isReplyLost: boolean): void {
    const key = `k${keyIndex}`;
    const firstMs = this.firstCopyMs.get(key) ?? this.nowMs;
    this.firstCopyMs.set(key, firstMs);
    if (this.nowMs - firstMs >= RESEND_WINDOW_MS) {
      return;
    }
    const earlier = this.copies.get(key) ?? [];
    const isFirst = earlier.every(copy => copy.isAnsweredNotRun);
    const attempt = isFirst ? 1 : hidesCount ? undefined : 2;
    const token = `t${this.count++}`;
    const deadlineMs = this.nowMs + 2_000;
    const claim = claimOf({key, attempt, token, deadlineMs});
    const copy: Copy = {
      claim,
      book: undefined,
      fate: 'asked',
      isAnsweredNotRun: false,
    };
    this.copies.set(key, [...earlier, copy]);
    this.ask(copy, isReplyLost);
  }

  /**
   * Also models the second request after a lost reply, and a request that
   * arrives late at the same VM after its claimant has given up.
   */
  ask(copy: Copy, isReplyLost: boolean): void {
    const book = this.homeOf(copy.claim.key);
    const isOver = copy.fate === 'settled' || copy.fate === 'not-run';
    const firstMs = this.firstCopyMs.get(copy.claim.key) ?? 0;
    const isInWindow = this.nowMs - firstMs < RESEND_WINDOW_MS;
    if (!isInWindow || (isOver && copy.book !== book)) {
      return;
    }
    // A claim repeated at another home hides the count, as its type demands.
    const isMoved = copy.book !== undefined && copy.book !== book;
    const attempt = isMoved ? undefined : copy.claim.attempt;
    copy.book ??= book;
    const isIncomplete =
      this.nowMs - RESEND_WINDOW_MS < book.summary().completeSinceMs;
    const isKnown = book
      .exportRecords(this.nowMs)
      .some(record => record.key === copy.claim.key);
    const {type} = book.claim({...copy.claim, attempt}, this.nowMs);
    if (type !== 'granted' || isOver) {
      // A claimant that has given up ignores the reply.
      return;
    }
    for (const other of this.copies.get(copy.claim.key) ?? []) {
      assert.ok(
        other === copy || other.fate === 'not-run' || other.fate === 'asked',
        `${copy.claim.key}: second claim granted, the first is ${other.fate}`,
      );
    }
    const isLate = attempt !== 1;
    assert.ok(!(isLate && isIncomplete && !isKnown), 'granted without records');
    if (!isReplyLost) {
      copy.fate = copy.fate === 'asked' ? 'granted' : copy.fate;
    }
  }

  /** The claimant ends a copy: it ran, may have run, or never started. */
  end(copy: Copy, verdict: Verdict, path: 'now' | 'late' | 'lost'): void {
    if (copy.fate !== 'granted' && copy.fate !== 'asked') {
      return;
    }
    const actual = copy.fate === 'asked' ? 'not-run' : verdict;
    copy.fate = actual === 'not-run' ? 'not-run' : 'settled';
    copy.isAnsweredNotRun = actual === 'not-run' && copy.claim.attempt === 1;
    const {key, claimantId, token} = copy.claim;
    const settlement = {key, claimantId, token, verdict: actual};
    if (path === 'now') {
      this.homeOf(key).settle(settlement, this.nowMs);
    }
    if (path !== 'lost') {
      // Also models a settlement that arrives twice.
      this.delayed.push(settlement);
    }
  }

  deliverLate(): void {
    const settlement = this.delayed.shift();
    if (settlement !== undefined) {
      this.homeOf(settlement.key).settle(settlement, this.nowMs);
    }
  }

  leave(vmId: string): void {
    const book = this.books.get(vmId);
    if (book === undefined || this.books.size === 1) {
      return;
    }
    this.books.delete(vmId);
    const records = book.exportRecords(this.nowMs);
    for (const record of records) {
      this.homeOf(record.key).adopt([record], this.nowMs);
    }
  }

  crash(vmId: string): void {
    if (this.books.size > 1 && this.books.delete(vmId)) {
      this.books.forEach(book => book.resetHorizon(this.nowMs));
    }
  }

  join(vmId: string): void {
    if (!this.books.has(vmId)) {
      this.books.set(vmId, new KeyedClaimBook({startMs: this.nowMs}));
    }
  }
}

const keyArbitrary = fc.nat({max: 2});
const vmArbitrary = fc.constantFrom('e-1', 'e-2', 'e-3', 'e-4');
const pathArbitrary = fc.constantFrom(
  'now' as const,
  'late' as const,
  'lost' as const,
);
const verdictArbitrary = fc.constantFrom<Verdict>(
  'ran',
  'not-run',
  'may-have-run',
);
const copyArbitrary = fc.record({
  key: keyArbitrary,
  index: fc.nat({max: 3}),
});
const commandArbitrary = fc.oneof(
  fc.record({
    type: fc.constant('send' as const),
    key: keyArbitrary,
    hidesCount: fc.boolean(),
    isReplyLost: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('ask' as const),
    copy: copyArbitrary,
    isReplyLost: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('end' as const),
    copy: copyArbitrary,
    verdict: verdictArbitrary,
    path: pathArbitrary,
  }),
  fc.constant({type: 'deliver-late' as const}),
  fc.record({type: fc.constant('leave' as const), vmId: vmArbitrary}),
  fc.record({type: fc.constant('crash' as const), vmId: vmArbitrary}),
  fc.record({type: fc.constant('join' as const), vmId: vmArbitrary}),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.constantFrom(10, 4_000, 8_000, 50_000),
  }),
);
type Command =
  typeof commandArbitrary extends fc.Arbitrary<infer T> ? T : never;

function applyCommand(world: World, command: Command): void {
  switch (command.type) {
    case 'send':
      world.send(command.key, command.hidesCount, command.isReplyLost);
      break;
    case 'ask':
    case 'end': {
      const {key, index} = command.copy;
      const copy = world.copies.get(`k${key}`)?.[index];
      if (copy !== undefined && command.type === 'ask') {
        world.ask(copy, command.isReplyLost);
      } else if (copy !== undefined && command.type === 'end') {
        world.end(copy, command.verdict, command.path);
      }
      break;
    }
    case 'deliver-late':
      world.deliverLate();
      break;
    case 'leave':
      world.leave(command.vmId);
      break;
    case 'crash':
      world.crash(command.vmId);
      break;
    case 'join':
      world.join(command.vmId);
      break;
    case 'wait':
      world.nowMs += command.ms;
      break;
  }
}

test('a key is granted again only after its claim was settled not-run', () => {
  // Guards against a booking that runs twice (I4), for any order of claims,
  // settlements, home changes with hand-over, crashes and lost replies.
  fc.assert(
    fc.property(
      fc.array(commandArbitrary, {minLength: 10, maxLength: 60}),
      commands => {
        const world = new World();
        for (const command of commands) {
          applyCommand(world, command);
        }
      },
    ),
    {seed: 21, numRuns: 20_000},
  );
});

const cases: readonly {
  readonly name: string;
  readonly guards: string;
  readonly steps: (book: KeyedClaimBook) => ClaimAnswer;
  readonly expected: ClaimAnswer['type'];
}[] = [
  {
    name: 'a claimant that lost the reply gets the same answer',
    guards: 'requests refused although their claim was granted',
    steps: book => {
      book.claim(claimOf(), 0);
      return book.claim(claimOf(), 10);
    },
    expected: 'granted',
  },
  {
    name: 'a copy of a claim that was settled unused is not granted',
    guards: 'a claim that nobody settles',
    steps: book => {
      book.claim(claimOf(), 0);
      book.settle(settlementOf('not-run'), 5);
      return book.claim(claimOf(), 10);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a running request is not granted to another token',
    guards: 'I4',
    steps: book => {
      book.claim(claimOf(), 0);
      return book.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'running',
  },
  {
    name: 'a claim whose claimant died may have run',
    guards: 'callers that are told forever that a request is running',
    steps: book => {
      book.claim(claimOf(), 0);
      const later = 2_000 + SETTLE_GRACE_MS + 1;
      return book.claim(claimOf({token: 't2', attempt: 2}), later);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a settlement by another incarnation is ignored',
    guards: 'a replacement that releases claims of its predecessor',
    steps: book => {
      book.claim(claimOf(), 0);
      book.settle({...settlementOf('not-run'), claimantId: 'e-1/b'}, 5);
      return book.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'running',
  },
  {
    name: 'a late not-run does not replace ran',
    guards: 'settlements that arrive twice or out of order',
    steps: book => {
      book.claim(claimOf(), 0);
      book.settle(settlementOf('ran'), 5);
      book.settle(settlementOf('not-run'), 6);
      return book.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'ran',
  },
  {
    name: 'a key used for another request is refused',
    guards: 'an answer to a request that was never run',
    steps: book => {
      book.claim(claimOf(), 0);
      return book.claim(claimOf({token: 't2', fingerprint: 'other'}), 10);
    },
    expected: 'mismatch',
  },
  {
    name: 'a later attempt fails while records are incomplete',
    guards: 'a second run after the home VM crashed',
    steps: book => {
      book.resetHorizon(0);
      return book.claim(claimOf({attempt: undefined}), RESEND_WINDOW_MS - 1);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a refusal for lack of records lasts, also beyond the horizon',
    guards: 'a copy that waits until the horizon has passed',
    steps: book => {
      book.resetHorizon(0);
      book.claim(claimOf({attempt: 2}), RESEND_WINDOW_MS - 1);
      book.settle(settlementOf('not-run'), RESEND_WINDOW_MS);
      const claim = claimOf({attempt: 3, token: 't2'});
      return book.claim(claim, RESEND_WINDOW_MS + 1);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a later attempt is granted once records are complete',
    guards: 'a horizon that never passes',
    steps: book => {
      book.resetHorizon(0);
      return book.claim(claimOf({attempt: 2}), RESEND_WINDOW_MS);
    },
    expected: 'granted',
  },
  {
    name: 'two claims of one key merge to may-have-run for good',
    guards: 'the end of one claim that releases the other',
    steps: book => {
      book.claim(claimOf(), 0);
      const other = new KeyedClaimBook({startMs: LONG_AGO_MS});
      other.claim(claimOf({token: 't2'}), 0);
      book.adopt(other.exportRecords(1), 1);
      book.settle(settlementOf('not-run'), 2);
      return book.claim(claimOf({token: 't3', attempt: 2}), 3);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a settled record from before the horizon is no proof',
    guards: 'a not-run record that was superseded at another home',
    steps: book => {
      book.claim(claimOf(), 0);
      book.settle(settlementOf('not-run'), 1);
      book.resetHorizon(2);
      return book.claim(claimOf({token: 't2', attempt: 2}), 3);
    },
    expected: 'may-have-run',
  },
];

for (const {name, guards, steps, expected} of cases) {
  test(`${name} (guards against ${guards})`, () => {
    const book = new KeyedClaimBook({startMs: LONG_AGO_MS});
    assert.equal(steps(book).type, expected);
  });
}

test('a not-run record handed over replaces no other claim', () => {
  // Guards against a hand-over that releases a running request.
  const states: ClaimRecord['state'][] = ['claimed', 'ran', 'may-have-run'];
  for (const state of states) {
    const book = new KeyedClaimBook({startMs: LONG_AGO_MS});
    const own = {...claimOf(), state, expiresMs: 9_000};
    book.adopt([own], 0);
    book.adopt([{...own, token: 't2', state: 'not-run'}], 1);
    assert.deepEqual(book.exportRecords(1), [asRecord(own)]);
  }
});

function asRecord(record: ClaimRecord): ClaimRecord {
  const {key, fingerprint, claimantId, token} = record;
  const {state, deadlineMs, expiresMs} = record;
  return {key, fingerprint, claimantId, token, state, deadlineMs, expiresMs};
}

test('records are bounded, and early eviction moves the horizon', () => {
  // Guards against unbounded memory and against silent loss of records.
  const book = new KeyedClaimBook({startMs: 0, maxRecords: 10});
  for (let i = 0; i < 11; i++) {
    book.claim(claimOf({key: `k${i}`}), 100 + i);
  }
  const {recordCount, completeSinceMs} = book.summary();
  assert.deepEqual([recordCount, completeSinceMs], [10, 110]);
  book.expire(2_000 + SETTLE_GRACE_MS + RETENTION_MS);
  book.expire(2_000 + SETTLE_GRACE_MS + RETENTION_MS + 1);
  assert.equal(book.summary().recordCount, 0);
  assert.equal(book.summary().completeSinceMs, 110);
});
