import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import bunyan from 'bunyan';
import {request as sendRequest} from 'undici';
import {SeededRandom, SystemClock} from '../core/index.js';
import {parseSettings} from '../settings/index.js';
import {PlatformServer} from '../standins/platform_server.js';
import {TargetLedger} from '../standins/target_ledger.js';
import {targetSettingsSchema} from '../standins/target_settings.js';
import {TargetStandin} from '../standins/target_standin.js';
import {findFreePorts, LinkProxy} from '../target_http/link_proxy_fixture.js';
import {composeDaemon} from './composition_root.js';
import type {Daemon} from './daemon.js';

const HOST = '127.0.0.1';
const TARGET_COUNT = 4;
const CALL_COUNT = 20;
const STATE_TIMEOUT_MS = 30_000;

const KIND = {urgent: false, long: false, worth: 1, timeoutMs: 3_000};
const SERVICE = {
  slotsPerTarget: 4,
  connectionsPerTarget: 8,
  probeBudgetPerSecond: 50,
  routing: 'estimated-load',
  longLaneShare: 1,
  maxEjectedShare: 0.3,
  retryBudgetShare: 1,
  queueCapacity: 64,
  slowStartMs: 0,
  kinds: {
    read: {...KIND, method: 'GET', pathPrefix: '/read', idempotent: true},
    book: {...KIND, method: 'POST', pathPrefix: '/book', idempotent: false},
  },
};

async function startTargets(
  t: TestContext,
  ledger: TargetLedger,
): Promise<readonly number[]> {
  const settings = targetSettingsSchema.parse({
    seed: 1,
    controlPort: 0,
    kinds: [
      {method: 'GET', pathPrefix: '/read', meanMs: 5, distribution: 'fixed'},
      {method: 'POST', pathPrefix: '/book', meanMs: 30, distribution: 'fixed'},
    ],
    targets: Array.from({length: TARGET_COUNT}, (_, i) => ({
      id: `t-${i}`,
      service: 'desk',
      port: 0,
      slots: 4,
    })),
    restartAfterMs: 0,
  });
  const random = new SeededRandom({seed: 1});
  const targets = settings.targets.map(
    spec => new TargetStandin({spec, settings, random, ledger}),
  );
  const ports = await Promise.all(targets.map(target => target.start()));
  t.after(() => Promise.all(targets.map(target => target.stop())));
  return ports;
}

interface RunningDaemon {
  readonly daemon: Daemon;
  readonly callerPort: number;
  readonly operatorPort: number;
}

async function startDaemon(
  t: TestContext,
  options: {
    readonly vmId: string;
    readonly targetPorts: readonly number[];
    readonly peerPort: number;
    readonly relayPort: number;
    readonly seedPort: number;
  },
): Promise<RunningDaemon> {
  const {vmId, targetPorts, peerPort, relayPort, seedPort} = options;
  const platform = new PlatformServer({clock: new SystemClock()});
  const config = {
    revision: 1,
    inForce: 'day',
    presets: {day: {vmCeiling: 2, services: {desk: SERVICE}}},
  };
  const vms = targetPorts.map((port, i) => ({
    id: `t-${i}`,
    role: 'target',
    service: 'desk',
    host: HOST,
    port,
    failureDomain: 'a',
    state: 'live',
  }));
  platform.publish('config', Buffer.from(JSON.stringify(config)));
  platform.publish('vms', Buffer.from(JSON.stringify({vms})));
  const platformUrl = await platform.listen(HOST, 0);
  const settings = {
    vmId,
    failureDomain: 'a',
    caller: {host: HOST, port: 0},
    operator: {host: HOST, port: 0},
    peer: {host: HOST, port: peerPort},
    relay: {host: HOST, port: relayPort},
    platformUrls: [platformUrl],
    seeds: [{host: HOST, port: seedPort}],
    leaveDelayMs: 0,
    randomSeed: 1,
  };
  const daemon = await composeDaemon({
    settings: parseSettings(JSON.stringify(settings), 's')._unsafeUnwrap(),
    logger: bunyan.createLogger({name: 'test', level: 'fatal'}),
  });
  const {caller, operator} = await daemon.start();
  t.after(async () => {
    await daemon.shutDown();
    await platform.close();
  });
  return {daemon, callerPort: caller, operatorPort: operator};
}

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  const endMs = Date.now() + STATE_TIMEOUT_MS;
  while (!(await check())) {
    assert.ok(Date.now() < endMs, 'the expected state was not reached');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

async function metric(
  {operatorPort}: RunningDaemon,
  name: string,
): Promise<number> {
  const {body} = await sendRequest(`http://${HOST}:${operatorPort}/metrics`);
  const prefix = `sycamorepitch_${name} `;
  const lines = (await body.text()).split('\n');
  const line = lines.find(each => each.startsWith(prefix));
  return Number(line?.slice(prefix.length) ?? 0);
}

async function call(
  {callerPort}: RunningDaemon,
  path: string,
  key?: string,
): Promise<{readonly status: number; readonly reason: unknown}> {
  const {statusCode, headers, body} = await sendRequest(
    `http://${HOST}:${callerPort}${path}`,
    {
      method: path.startsWith('/book') ? 'POST' : 'GET',
      headers: {
        'x-service': 'desk',
        ...(key !== undefined && {'idempotency-key': key, 'x-attempt': '1'}),
      },
    },
  );
  await body.text();
  assert.equal(headers['sycamorepitch-relay'], undefined);
  return {status: statusCode, reason: headers['x-refusal-reason']};
}

test('a peer serves the callers of a daemon whose links are cut', async t => {
  // Guards against VMs that can only fail the requests of their callers.
  const ledger = new TargetLedger();
  // Probes do not name their VM, so those of both VMs are reset.
  const proxy = new LinkProxy(
    head =>
      head.startsWith('GET /load') || head.includes('x-request-token: e-01/'),
  );
  const targetPorts = await startTargets(t, ledger);
  const proxyPorts = await Promise.all(
    targetPorts.map(port => proxy.start(t, port)),
  );
  const [first = 0, second = 0, firstRelay = 0, secondRelay = 0] =
    await findFreePorts(4);
  const cutOff = await startDaemon(t, {
    vmId: 'e-01',
    targetPorts: proxyPorts,
    peerPort: first,
    relayPort: firstRelay,
    seedPort: second,
  });
  const peer = await startDaemon(t, {
    vmId: 'e-02',
    targetPorts: proxyPorts,
    peerPort: second,
    relayPort: secondRelay,
    seedPort: first,
  });
  await waitUntil(async () => {
    const readies = [cutOff, peer].map(({daemon}) => daemon.isReady());
    return readies.every(Boolean) && (await metric(cutOff, 'members')) >= 1;
  });
  await waitUntil(async () => (await call(cutOff, '/read/0')).status === 200);
  proxy.set('reset');
  await waitUntil(async () => {
    await call(cutOff, '/read/during-cut');
    return (await metric(cutOff, 'cut_off_seconds')) > 0;
  });
  await waitUntil(async () => (await call(cutOff, '/read/1')).status === 200);
  for (let i = 0; i < CALL_COUNT; i += 1) {
    assert.equal((await call(cutOff, `/read/${i}`)).status, 200);
    assert.equal((await call(cutOff, `/book/${i}`)).status, 200);
    assert.equal((await call(cutOff, `/book/k${i}`, `key-${i}`)).status, 200);
  }
  const carried = await metric(peer, 'relays_total{direction="from-peer"}');
  assert.ok(carried >= 3 * CALL_COUNT, `${carried} requests carried`);
  proxy.set('open');
  await waitUntil(async () => (await metric(cutOff, 'cut_off_seconds')) === 0);
  await waitUntil(async () => (await call(cutOff, '/read/2')).status === 200);
});
