import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {rendezvousRank, type Verdict} from '../core/index.js';
import {
  KeyedClaimTable,
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

/** Copy of a request that a caller sent. */
interface RequestCopy {
  readonly claim: ClaimRequest;
  /** Table that received the first claim of the copy. */
  homeTable: KeyedClaimTable | undefined;
  status: 'requested' | 'granted' | 'settled' | 'not-run';
  isAnsweredNotRun: boolean;
}

/**
 * Model of home VMs, claimants and callers with a consistent membership view.
 */
class ClaimModel {
  nowMs = 0;
  readonly tables = new Map<string, KeyedClaimTable>();
  /** Copies by key. */
  readonly copies = new Map<string, RequestCopy[]>();
  private readonly firstCopyMs = new Map<string, number>();
  private readonly delayedSettlements: Settlement[] = [];
  private tokenCount = 0;

  constructor() {
    for (const vmId of ['e-1', 'e-2', 'e-3']) {
      this.tables.set(vmId, new KeyedClaimTable({startMs: LONG_AGO_MS}));
    }
  }

  private homeTableOf(key: string): KeyedClaimTable {
    const [vmId] = rendezvousRank(key, [...this.tables.keys()]);
    return this.tables.get(vmId!)!;
  }

  /** Models a caller that sends a copy and an entry VM that claims it. */
  sendCopy(
    keyIndex: number,
    isAttemptUnknown: boolean,
    isReplyLost: boolean,
  ): void {
    const key = `k${keyIndex}`;
    const firstMs = this.firstCopyMs.get(key) ?? this.nowMs;
    this.firstCopyMs.set(key, firstMs);
    if (this.nowMs - firstMs >= RESEND_WINDOW_MS) {
      return;
    }
    const earlier = this.copies.get(key) ?? [];
    const isFirst = earlier.every(copy => copy.isAnsweredNotRun);
    const attempt = isFirst ? 1 : isAttemptUnknown ? undefined : 2;
    const token = `t${this.tokenCount++}`;
    const deadlineMs = this.nowMs + 2_000;
    const claim = claimOf({key, attempt, token, deadlineMs});
    const copy: RequestCopy = {
      claim,
      homeTable: undefined,
      status: 'requested',
      isAnsweredNotRun: false,
    };
    this.copies.set(key, [...earlier, copy]);
    this.requestClaim(copy, isReplyLost);
  }

  /**
   * Claims a copy. Called again, it models a claim that is repeated after a
   * lost reply, or one that arrives late at the same VM after its claimant gave
   * up.
   */
  requestClaim(copy: RequestCopy, isReplyLost: boolean): void {
    const table = this.homeTableOf(copy.claim.key);
    const isOver = copy.status === 'settled' || copy.status === 'not-run';
    const firstMs = this.firstCopyMs.get(copy.claim.key) ?? 0;
    const isInWindow = this.nowMs - firstMs < RESEND_WINDOW_MS;
    if (!isInWindow || (isOver && copy.homeTable !== table)) {
      return;
    }
    // A claim repeated at another home omits the attempt; see `ClaimRequest`.
    const isMoved = copy.homeTable !== undefined && copy.homeTable !== table;
    const attempt = isMoved ? undefined : copy.claim.attempt;
    copy.homeTable ??= table;
    const isIncomplete =
      this.nowMs - RESEND_WINDOW_MS < table.summary().completeSinceMs;
    const isKnown = table
      .exportRecords(this.nowMs)
      .some(record => record.key === copy.claim.key);
    const {type} = table.claim({...copy.claim, attempt}, this.nowMs);
    if (type !== 'granted' || isOver) {
      // A claimant that gave up ignores the reply.
      return;
    }
    for (const other of this.copies.get(copy.claim.key) ?? []) {
      assert.ok(
        other === copy ||
          other.status === 'not-run' ||
          other.status === 'requested',
        `${copy.claim.key}: second claim granted, the first is ${other.status}`,
      );
    }
    const isLate = attempt !== 1;
    assert.ok(!(isLate && isIncomplete && !isKnown), 'granted without records');
    if (!isReplyLost) {
      copy.status = copy.status === 'requested' ? 'granted' : copy.status;
    }
  }

  /** Models the end of a copy: it ran, may have run, or never started. */
  endCopy(
    copy: RequestCopy,
    verdict: Verdict,
    path: 'now' | 'late' | 'lost',
  ): void {
    if (copy.status !== 'granted' && copy.status !== 'requested') {
      return;
    }
    const actual = copy.status === 'requested' ? 'not-run' : verdict;
    copy.status = actual === 'not-run' ? 'not-run' : 'settled';
    copy.isAnsweredNotRun = actual === 'not-run' && copy.claim.attempt === 1;
    const {key, claimantId, token} = copy.claim;
    const settlement = {key, claimantId, token, verdict: actual};
    if (path === 'now') {
      this.homeTableOf(key).settle(settlement, this.nowMs);
    }
    if (path !== 'lost') {
      // Also models a settlement that arrives twice.
      this.delayedSettlements.push(settlement);
    }
  }

  deliverLate(): void {
    const settlement = this.delayedSettlements.shift();
    if (settlement !== undefined) {
      this.homeTableOf(settlement.key).settle(settlement, this.nowMs);
    }
  }

  leave(vmId: string): void {
    const table = this.tables.get(vmId);
    if (table === undefined || this.tables.size === 1) {
      return;
    }
    this.tables.delete(vmId);
    const records = table.exportRecords(this.nowMs);
    for (const record of records) {
      this.homeTableOf(record.key).adopt([record], this.nowMs);
    }
  }

  crash(vmId: string): void {
    if (this.tables.size > 1 && this.tables.delete(vmId)) {
      this.tables.forEach(table => table.advanceHorizon(this.nowMs));
    }
  }

  join(vmId: string): void {
    if (!this.tables.has(vmId)) {
      this.tables.set(vmId, new KeyedClaimTable({startMs: this.nowMs}));
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
    isAttemptUnknown: fc.boolean(),
    isReplyLost: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('claim' as const),
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

function applyCommand(model: ClaimModel, command: Command): void {
  switch (command.type) {
    case 'send':
      model.sendCopy(
        command.key,
        command.isAttemptUnknown,
        command.isReplyLost,
      );
      break;
    case 'claim':
    case 'end': {
      const {key, index} = command.copy;
      const copy = model.copies.get(`k${key}`)?.[index];
      if (copy !== undefined && command.type === 'claim') {
        model.requestClaim(copy, command.isReplyLost);
      } else if (copy !== undefined && command.type === 'end') {
        model.endCopy(copy, command.verdict, command.path);
      }
      break;
    }
    case 'deliver-late':
      model.deliverLate();
      break;
    case 'leave':
      model.leave(command.vmId);
      break;
    case 'crash':
      model.crash(command.vmId);
      break;
    case 'join':
      model.join(command.vmId);
      break;
    case 'wait':
      model.nowMs += command.ms;
      break;
  }
}

test('a key is granted again only after its claim was settled not-run', () => {
  // Guards against a booking that runs twice (I4), in any sequence of claims,
  // settlements, hand-overs, crashes and lost replies.
  fc.assert(
    fc.property(
      fc.array(commandArbitrary, {minLength: 10, maxLength: 60}),
      commands => {
        const model = new ClaimModel();
        for (const command of commands) {
          applyCommand(model, command);
        }
      },
    ),
    {seed: 21, numRuns: 20_000},
  );
});

const cases: readonly {
  readonly name: string;
  readonly guards: string;
  readonly steps: (table: KeyedClaimTable) => ClaimAnswer;
  readonly expected: ClaimAnswer['type'];
}[] = [
  {
    name: 'a repeated claim gets the same answer',
    guards: 'refusing a granted request after a lost reply',
    steps: table => {
      table.claim(claimOf(), 0);
      return table.claim(claimOf(), 10);
    },
    expected: 'granted',
  },
  {
    name: 'a duplicate of a claim that was settled as unused is not granted',
    guards: 'a granted claim that is never settled',
    steps: table => {
      table.claim(claimOf(), 0);
      table.settle(settlementOf('not-run'), 5);
      return table.claim(claimOf(), 10);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a running request is not granted to another token',
    guards: 'a request that runs twice (I4)',
    steps: table => {
      table.claim(claimOf(), 0);
      return table.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'running',
  },
  {
    name: 'a claim whose claimant crashed becomes may-have-run',
    guards: 'reporting a request as running forever',
    steps: table => {
      table.claim(claimOf(), 0);
      const later = 2_000 + SETTLE_GRACE_MS + 1;
      return table.claim(claimOf({token: 't2', attempt: 2}), later);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a settlement from another incarnation is ignored',
    guards: 'a replacement VM that releases claims of its predecessor',
    steps: table => {
      table.claim(claimOf(), 0);
      table.settle({...settlementOf('not-run'), claimantId: 'e-1/b'}, 5);
      return table.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'running',
  },
  {
    name: 'a late not-run settlement does not replace ran',
    guards: 'duplicate or reordered settlements',
    steps: table => {
      table.claim(claimOf(), 0);
      table.settle(settlementOf('ran'), 5);
      table.settle(settlementOf('not-run'), 6);
      return table.claim(claimOf({token: 't2', attempt: 2}), 10);
    },
    expected: 'ran',
  },
  {
    name: 'a key that is reused for a different request is refused',
    guards: 'answering for a request that never ran',
    steps: table => {
      table.claim(claimOf(), 0);
      return table.claim(claimOf({token: 't2', fingerprint: 'other'}), 10);
    },
    expected: 'mismatch',
  },
  {
    name: 'a resend is not granted while records are incomplete',
    guards: 'a second run after the home VM crashed',
    steps: table => {
      table.advanceHorizon(0);
      return table.claim(claimOf({attempt: undefined}), RESEND_WINDOW_MS - 1);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a refusal for incomplete records outlasts the resend window',
    guards: 'granting a copy that is resent once the window has passed',
    steps: table => {
      table.advanceHorizon(0);
      table.claim(claimOf({attempt: 2}), RESEND_WINDOW_MS - 1);
      table.settle(settlementOf('not-run'), RESEND_WINDOW_MS);
      const claim = claimOf({attempt: 3, token: 't2'});
      return table.claim(claim, RESEND_WINDOW_MS + 1);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a resend is granted once records are complete',
    guards: 'refusing resends forever',
    steps: table => {
      table.advanceHorizon(0);
      return table.claim(claimOf({attempt: 2}), RESEND_WINDOW_MS);
    },
    expected: 'granted',
  },
  {
    name: 'two claims of one key merge to may-have-run permanently',
    guards: 'a settlement of one claim that releases the other',
    steps: table => {
      table.claim(claimOf(), 0);
      const other = new KeyedClaimTable({startMs: LONG_AGO_MS});
      other.claim(claimOf({token: 't2'}), 0);
      table.adopt(other.exportRecords(1), 1);
      table.settle(settlementOf('not-run'), 2);
      return table.claim(claimOf({token: 't3', attempt: 2}), 3);
    },
    expected: 'may-have-run',
  },
  {
    name: 'a not-run record that predates the horizon does not permit a grant',
    guards: 'a not-run record that was superseded at another home',
    steps: table => {
      table.claim(claimOf(), 0);
      table.settle(settlementOf('not-run'), 1);
      table.advanceHorizon(2);
      return table.claim(claimOf({token: 't2', attempt: 2}), 3);
    },
    expected: 'may-have-run',
  },
];

for (const {name, guards, steps, expected} of cases) {
  test(`${name} (guards against ${guards})`, () => {
    const table = new KeyedClaimTable({startMs: LONG_AGO_MS});
    assert.equal(steps(table).type, expected);
  });
}

test('a not-run record from a hand-over does not replace other claims', () => {
  // Guards against a hand-over that releases the claim of a running request.
  const states: ClaimRecord['state'][] = ['claimed', 'ran', 'may-have-run'];
  for (const state of states) {
    const table = new KeyedClaimTable({startMs: LONG_AGO_MS});
    const own = {...claimOf(), state, expiresMs: 9_000};
    table.adopt([own], 0);
    table.adopt([{...own, token: 't2', state: 'not-run'}], 1);
    assert.deepEqual(table.exportRecords(1), [asRecord(own)]);
  }
});

/** Returns the fields that are handed over. */
function asRecord(record: ClaimRecord): ClaimRecord {
  const {key, fingerprint, claimantId, token} = record;
  const {state, deadlineMs, expiresMs} = record;
  return {key, fingerprint, claimantId, token, state, deadlineMs, expiresMs};
}

test('the table is bounded, and early eviction advances the horizon', () => {
  // Guards against unbounded memory use and against undetected loss of records.
  const table = new KeyedClaimTable({startMs: 0, maxRecords: 10});
  for (let i = 0; i < 11; i++) {
    table.claim(claimOf({key: `k${i}`}), 100 + i);
  }
  const {recordCount, completeSinceMs} = table.summary();
  assert.deepEqual([recordCount, completeSinceMs], [10, 110]);
  table.expire(2_000 + SETTLE_GRACE_MS + RETENTION_MS);
  table.expire(2_000 + SETTLE_GRACE_MS + RETENTION_MS + 1);
  assert.equal(table.summary().recordCount, 0);
  assert.equal(table.summary().completeSinceMs, 110);
});
