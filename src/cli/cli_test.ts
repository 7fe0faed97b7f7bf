import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough, Readable} from 'node:stream';
import {text as readAll} from 'node:stream/consumers';
import {after, test, type TestContext} from 'node:test';
import {SystemClock} from '../core/index.js';
import {
  createConfigStore,
  createVmListStore,
  publishedDocument,
  type DocumentStore,
  type ConfigDocument,
  type VmStatus,
} from '../preset/index.js';
import {sampleConfig} from '../preset/sample_documents.js';
import {PROGRAM_VERSION} from '../settings/index.js';
import type {TimelineEvent} from '../timeline/index.js';
import {runCli} from './index.js';

const folder = mkdtempSync(join(tmpdir(), 'sycamorepitch-cli-'));
after(() => rmSync(folder, {recursive: true}));

function writeTempFile(name: string, body: string): string {
  const file = join(folder, name);
  writeFileSync(file, body);
  return file;
}

interface RunResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command in this process and returns its exit code and output. */
async function run(args: readonly string[], stdin = ''): Promise<RunResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await runCli(args, {
    env: {},
    stdin: Readable.from([Buffer.from(stdin)]),
    stdout,
    stderr,
    colorDepth: 1,
    clock: new SystemClock(),
  });
  stdout.end();
  stderr.end();
  const [out, err] = await Promise.all([readAll(stdout), readAll(stderr)]);
  assert.doesNotMatch(out + err, /\n\s+at /, 'no stack trace');
  return {code, out, err};
}

/** Operator port of a simulated VM with a real document store. */
class FakeVm {
  readonly config: DocumentStore<ConfigDocument> = createConfigStore();
  ready = true;
  /** Undefined for a daemon that does not report its version. */
  version: string | undefined = '1.2.3';
  events: readonly TimelineEvent[] = [];
  members: readonly string[];
  private platformVersion = 0;

  constructor(readonly vmId: string) {
    this.members = [vmId];
  }

  offer(body: string, platformVersion = ++this.platformVersion): void {
    this.config.offer(publishedDocument('config', platformVersion, body), 0);
  }

  status(): Omit<VmStatus, 'version'> & {version: string | undefined} {
    const inForce = this.config.adopted?.document.inForce ?? null;
    return {
      version: this.version,
      vmId: this.vmId,
      bootId: 'b1',
      failureDomain: 'a',
      state: 'ready',
      ready: this.ready,
      documents: {
        config: {...this.config.status(1_000), inForce},
        vms: createVmListStore().status(0),
      },
      members: this.members.map(vmId => ({
        vmId,
        bootId: 'b1',
        state: 'ready',
        lastHeardAgeMs: 5,
      })),
      engine: {},
    };
  }

  /** Starts the server and returns the options that select it. */
  async listen(t: TestContext): Promise<readonly string[]> {
    const server = createServer((request, response) => {
      const {vmId, events} = this;
      const body = request.url === '/timeline' ? {vmId, events} : this.status();
      response.end(JSON.stringify(body));
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    t.after(() => {
      server.closeAllConnections();
      server.close();
    });
    return ['--vm', `127.0.0.1:${(server.address() as AddressInfo).port}`];
  }
}

/** Port 1 of the loopback address, where nothing listens. */
const UNREACHABLE_VM = ['--vm', '127.0.0.1:1'];

test('validate reports all errors and the exit code', async () => {
  // Guards against a script that publishes an invalid document.
  const good = writeTempFile('good.json', sampleConfig(3));
  const valid = await run(['preset', 'validate', good]);
  assert.equal(valid.code, 0);
  assert.match(valid.out, /valid, revision 3, lunch in force/);
  const bad = sampleConfig(3, {queueCapacity: -1, slots: 2});
  const invalid = await run(['preset', 'validate', '-', '--json'], bad);
  assert.equal(invalid.code, 1);
  assert.match(
    invalid.err,
    /line \d+: presets\.lunch.*queueCapacity: found -1/,
  );
  const json = JSON.parse(invalid.out) as {error: {issues: unknown[]}};
  assert.equal(json.error.issues.length, 4);
  const list = ['preset', 'validate', '--document', 'vms', '-'];
  assert.equal((await run(list, '{"vms": []}')).code, 0);
});

test('bad usage and unreadable input exit with 2', async () => {
  // Guards against a script that mistakes a mistyped command for a result.
  const good = writeTempFile('usage.json', sampleConfig(3));
  const vms = writeTempFile('list.json', '{"vms": ["host:9090"]}');
  const cases = [
    [],
    ['preset', 'frobnicate'],
    ['preset', 'validate', '--frobnicate', good],
    ['preset', 'validate', join(folder, 'missing.json')],
    ['preset', 'validate', folder],
    ['preset', 'show', good, 'dinner'],
    ['preset', 'use', good, 'dinner'],
    ['preset', 'watch', good],
    ['preset', 'watch', good, ...UNREACHABLE_VM, '--timeout-ms', 'soon'],
    ['status', '--vm', 'localhost:80'],
    ['status', '--vm', '127.0.0.1:99999'],
    ['status', '--settings', vms],
  ];
  for (const args of cases) {
    const result = await run(args);
    assert.equal(result.code, 2, args.join(' '));
    assert.notEqual(result.err, '');
  }
});

test('each command has help with an example', async () => {
  // Guards against commands without usage instructions.
  const commands = [
    ...['validate', 'show', 'diff', 'use', 'watch'].map(name => [
      'preset',
      name,
    ]),
    ['status'],
    ['timeline'],
  ];
  const overview = await run(['--help']);
  for (const command of commands) {
    const help = await run([...command, '--help']);
    const name = command.join(' ');
    assert.equal(help.code, 0, name);
    const [usage, examples] = help.out.split('Examples');
    assert.ok(usage?.includes(`$ sycamorepitch ${name}`), name);
    assert.ok(examples?.includes(`$ sycamorepitch ${name} `), name);
    assert.ok(overview.out.includes(`sycamorepitch ${name} `), name);
  }
  const version = await run(['--version']);
  assert.equal(version.out, `${PROGRAM_VERSION}\n`);
});

test('show and diff print presets as readable text', async () => {
  // Guards against differences that operators cannot interpret.
  const before = writeTempFile('before.json', sampleConfig(3));
  const next = writeTempFile('after.json', sampleConfig(4, {queueCapacity: 9}));
  const shown = await run(['preset', 'show', before]);
  assert.match(shown.out, /preset lunch \(in force\), at most 30 VMs/);
  assert.match(shown.out, /280 connections per target \(9 for each VM\)/);
  assert.match(shown.out, /book +POST +\/book +no +no +no +10 +2000 ms/);
  const diff = await run(['preset', 'diff', before, next]);
  assert.equal(diff.code, 0);
  assert.match(
    diff.out,
    /\* preset lunch, service growers-desk: queue capacity changes from 256 to 9/,
  );
  const same = await run(['preset', 'diff', before, before]);
  assert.equal(same.out, 'no difference\n');
});

test('use prints a valid document and rejects an outdated file', async t => {
  // Guards against a preset switch that VMs refuse, or that reverts a later
  // publication.
  const file = writeTempFile('use.json', `// note\n${sampleConfig(3)}`);
  const used = await run(['preset', 'use', file, 'ordinary']);
  assert.equal(used.code, 0);
  assert.match(used.err, /revision 4: lunch is replaced by ordinary/);
  const checked = await run(['preset', 'validate', '-'], used.out);
  assert.match(checked.out, /revision 4, ordinary in force/);
  const vm = new FakeVm('e-01');
  const options = await vm.listen(t);
  vm.offer(sampleConfig(3, {queueCapacity: 1}));
  const outdated = await run(['preset', 'use', file, 'ordinary', ...options]);
  assert.equal(outdated.code, 1);
  assert.equal(outdated.out, '');
  assert.match(outdated.err, /start from the published document/);
});

test('watch ends when the document is in force on all VMs', async t => {
  // Guards against reported success while a VM still has an older document.
  const body = sampleConfig(2);
  const file = writeTempFile('watch.json', body);
  const [first, second] = [new FakeVm('e-01'), new FakeVm('e-02')];
  const options = [...(await first.listen(t)), ...(await second.listen(t))];
  first.offer(body);
  second.offer(sampleConfig(1));
  const lag = ['preset', 'watch', file, ...options, '--timeout-ms', '0'];
  const lagging = await run(lag);
  assert.equal(lagging.code, 1);
  assert.match(lagging.out, /VM e-02: still has revision 1/);
  const watching = run(['preset', 'watch', file, ...options]);
  second.offer(body);
  const done = await watching;
  assert.equal(done.code, 0);
  assert.equal(done.out, 'revision 2 is in force on all 2 VMs\n');
  const partial = await run([...lag, ...UNREACHABLE_VM]);
  assert.equal(partial.code, 1);
  assert.match(partial.out, /127\.0\.0\.1:1: ECONNREFUSED/);
});

test('watch reports which publication won and why one was refused', async t => {
  // Guards against waiting for a document that cannot come into force.
  const vm = new FakeVm('e-01');
  const options = await vm.listen(t);
  const mine = sampleConfig(2);
  const file = writeTempFile('mine.json', mine);
  const watch = ['preset', 'watch', file, ...options];
  vm.offer(sampleConfig(2, {queueCapacity: 1}), 9);
  const open = await run([...watch, '--timeout-ms', '0']);
  assert.match(open.out, /has another publication of this revision/);
  const known = await run([...watch, '--platform-version', '8']);
  assert.equal(known.code, 1);
  assert.match(known.out, /another publication of this revision won/);
  vm.offer(mine, 8);
  assert.match((await run(watch)).out, /won: revision 2, platform version 9/);
  vm.offer(sampleConfig(3), 10);
  assert.match((await run(watch)).out, /a later document won: revision 3/);
  vm.offer(mine, 11);
  assert.match(
    (await run(watch)).out,
    /refused: published later than revision/,
  );
});

test('the exit code is 3 if no VM is reachable', async () => {
  // Guards against a failure of all VMs that looks like a slow rollout.
  const file = writeTempFile('alone.json', sampleConfig(2));
  const status = await run(['status', ...UNREACHABLE_VM, '--json']);
  assert.equal(status.code, 3);
  assert.match(status.out, /"type": "no-vm-reachable"/);
  const watch = [
    'preset',
    'watch',
    file,
    ...UNREACHABLE_VM,
    '--timeout-ms',
    '0',
  ];
  assert.equal((await run(watch)).code, 3);
  assert.equal(
    (await run(['preset', 'use', file, 'lunch', ...UNREACHABLE_VM])).code,
    3,
  );
});

test('status reports differing documents, refusals and unqueried VMs', async t => {
  // Guards against a fleet that looks healthy while its VMs have different
  // documents.
  const [first, second] = [new FakeVm('e-01'), new FakeVm('e-02')];
  const options = [...(await first.listen(t)), ...(await second.listen(t))];
  first.offer(sampleConfig(1));
  second.offer(sampleConfig(1));
  const good = await run(['status', ...options]);
  assert.equal(good.code, 0);
  assert.match(
    good.out,
    /e-01 +1\.2\.3 +a +ready +yes +lunch +1 +1 +[0-9a-f]{12} +1 s ago/,
  );
  second.ready = false;
  assert.equal((await run(['status', ...options])).code, 1);
  second.ready = true;
  second.version = undefined;
  assert.match((await run(['status', ...options])).out, /e-02 +unknown +a/);
  second.offer(sampleConfig(2));
  second.offer('{');
  second.members = ['e-02', 'e-03'];
  const bad = await run(['status', ...options]);
  assert.equal(bad.code, 1);
  assert.match(bad.out, /do not have the same preset document/);
  assert.match(bad.out, /VM e-02: refused config revision 0/);
  assert.match(bad.out, /not asked: e-03/);
});

test('timeline merges the events of VMs and reports missing VMs', async t => {
  // Guards against events out of order, and against a missing VM that goes
  // unnoticed.
  const [first, second] = [new FakeVm('e-01'), new FakeVm('e-02')];
  const options = [...(await first.listen(t)), ...(await second.listen(t))];
  const event = (vmId: string, wallMs: number): TimelineEvent => ({
    time: {wallMs, counter: 0},
    vmId,
    part: 'config',
    name: `adopted-${wallMs}`,
    details: {revision: 2},
  });
  first.events = [event('e-01', 1), event('e-01', 3)];
  second.events = [event('e-02', 2)];
  const merged = await run(['timeline', ...options]);
  assert.equal(merged.code, 0);
  assert.match(merged.out, /adopted-1.*\n.*e-02.*adopted-2.*\n.*adopted-3/);
  const trace = [
    'timeline',
    '--format',
    'trace',
    ...options,
    ...UNREACHABLE_VM,
  ];
  const partial = await run(trace);
  assert.equal(partial.code, 1);
  assert.match(partial.err, /events are missing: 127\.0\.0\.1:1/);
  assert.ok('traceEvents' in (JSON.parse(partial.out) as object));
  second.events = [event('e-02', 1e300)];
  const broken = await run(['timeline', ...options]);
  assert.match(broken.err, /unexpected answer: events\.0\.time\.wallMs/);
  assert.equal((await run(['timeline', ...UNREACHABLE_VM])).code, 3);
});
