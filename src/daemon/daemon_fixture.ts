/**
 * A platform and targets of the daemon, for tests.
 *
 * @packageDocumentation
 */
import {SeededRandom, SystemClock} from '../core/index.js';
import {PlatformServer} from '../standins/platform_server.js';
import {TargetLedger} from '../standins/target_ledger.js';
import {targetSettingsSchema} from '../standins/target_settings.js';
import {TargetStandin} from '../standins/target_standin.js';

const HOST = '127.0.0.1';

/** A platform that lists running targets of the service `desk`. */
export interface RunningPlatform {
  readonly targets: readonly TargetStandin[];
  readonly ledger: TargetLedger;
  readonly platformUrl: string;
  /** Stops the targets and the platform. */
  readonly stop: () => Promise<void>;
}

function serviceOf(timeoutMs: number): object {
  const kind = {urgent: false, long: false, worth: 1, timeoutMs};
  return {
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
      read: {...kind, method: 'GET', pathPrefix: '/read', idempotent: true},
      book: {...kind, method: 'POST', pathPrefix: '/book', idempotent: false},
    },
  };
}

/**
 * Starts a platform and targets in this process.
 *
 * @param targetCount - number of targets
 * @param timeoutMs - timeout of both kinds of requests
 * @param otherPorts - ports of further targets, which the caller has started
 */
export async function startPlatform(
  targetCount: number,
  timeoutMs: number,
  otherPorts: readonly number[] = [],
): Promise<RunningPlatform> {
  const settings = targetSettingsSchema.parse({
    seed: 1,
    controlPort: 0,
    kinds: [
      {method: 'GET', pathPrefix: '/read', meanMs: 5, distribution: 'fixed'},
      {method: 'POST', pathPrefix: '/book', meanMs: 30, distribution: 'fixed'},
    ],
    targets: Array.from({length: targetCount}, (_, i) => ({
      id: `t-${i}`,
      service: 'desk',
      port: 0,
      slots: 4,
    })),
    restartAfterMs: 0,
  });
  const ledger = new TargetLedger();
  const targets = settings.targets.map(
    spec =>
      new TargetStandin({
        spec,
        settings,
        random: new SeededRandom({seed: 1}),
        ledger,
      }),
  );
  const ports = await Promise.all(targets.map(target => target.start()));
  const platform = new PlatformServer({clock: new SystemClock()});
  const config = {
    revision: 1,
    inForce: 'day',
    presets: {day: {vmCeiling: 1, services: {desk: serviceOf(timeoutMs)}}},
  };
  const listedTargets = [...ports, ...otherPorts].map((port, i) => ({
    id: `t-${i}`,
    role: 'target',
    service: 'desk',
    host: HOST,
    port,
    failureDomain: 'a',
    state: 'live',
  }));
  platform.publish('config', Buffer.from(JSON.stringify(config)));
  platform.publish('vms', Buffer.from(JSON.stringify({vms: listedTargets})));
  const platformUrl = await platform.listen(HOST, 0);
  const stop = async (): Promise<void> => {
    targets.forEach(target => target.stop());
    await platform.close();
  };
  return {targets, ledger, platformUrl, stop};
}
