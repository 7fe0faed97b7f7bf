/**
 * Settings of a small fleet on loopback ports, for tests and demonstrations.
 *
 * @packageDocumentation
 */
import {join} from 'node:path';
import type {DaemonSettings} from '../settings/index.js';
import {FLEET_KINDS} from './fleet_kinds.js';

const HOST = '127.0.0.1';

/** Greatest number of entry VMs, also the distance between port ranges. */
const MAX_VMS = 50;

/** Distance of the relay's first port from the first port of the fleet. */
const RELAY_OFFSET = 300;

/** Size of a fleet. */
export interface FleetShape {
  readonly seed: number;
  readonly vmCount: number;
  /** Processes that run targets; the targets are spread over them. */
  readonly targetProcessCount: number;
  readonly growersTargetCount: number;
  readonly packhouseTargetCount: number;
  /** First port; the fleet uses up to 400 from here. */
  readonly basePort: number;
  /** Load curve of the caller. */
  readonly durationMs: number;
  readonly baseRate: number;
  readonly peakRate: number;
  readonly leaveDelayMs: number;
  /** Folder for ledgers of targets and the caller's trace; no files if absent. */
  readonly recordFolder?: string;
}

/** A small fleet under a short lunch hour. */
export const SMALL_FLEET: FleetShape = {
  seed: 1,
  vmCount: 3,
  targetProcessCount: 2,
  growersTargetCount: 6,
  packhouseTargetCount: 4,
  basePort: 18_000,
  durationMs: 20_000,
  baseRate: 60,
  peakRate: 300,
  leaveDelayMs: 500,
};

/** A target and the process that runs it. */
interface PlacedTarget {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly processIndex: number;
}

/**
 * Creates all files of a fleet.
 *
 * @param shape - size of the fleet
 * @returns contents by file name
 *
 * @example
 * ```ts
 * const files = fleetFiles({...SMALL_FLEET, vmCount: 5});
 * ```
 */
export function fleetFiles(shape: FleetShape): ReadonlyMap<string, unknown> {
  const files = new Map<string, unknown>();
  const targets = placeTargets(shape);
  files.set('config.json', configDocument());
  files.set('vms.json', vmListDocument(shape, targets));
  for (let i = 0; i < shape.targetProcessCount; i++) {
    const own = targets.filter(target => target.processIndex === i);
    files.set(`targets-${i + 1}.json`, targetSettings(shape, i, own));
  }
  for (let i = 0; i < shape.vmCount; i++) {
    files.set(`daemon-${i + 1}.json`, daemonSettings(shape, i));
  }
  files.set('caller.json', callerSettings(shape));
  files.set('relay.json', relaySettings(shape));
  return files;
}

function placeTargets(shape: FleetShape): readonly PlacedTarget[] {
  const {growersTargetCount, packhouseTargetCount} = shape;
  const services = [
    ...Array<string>(growersTargetCount).fill('growers-desk'),
    ...Array<string>(packhouseTargetCount).fill('packhouse-desk'),
  ];
  return services.map((service, i) => ({
    id: `t-${String(i + 1).padStart(2, '0')}`,
    service,
    port: shape.basePort + 3 * MAX_VMS + 50 + i,
    failureDomain: domainOf(i),
    processIndex: i % shape.targetProcessCount,
  }));
}

function domainOf(index: number): string {
  return ['a', 'b', 'c'][index % 3] ?? 'a';
}

function vmIdOf(index: number): string {
  return `e-${String(index + 1).padStart(2, '0')}`;
}

function portsOf(
  shape: FleetShape,
  index: number,
): {caller: number; operator: number; peer: number} {
  const caller = shape.basePort + 20 + index;
  return {caller, operator: caller + MAX_VMS, peer: caller + 2 * MAX_VMS};
}

function configDocument(): unknown {
  const service = {
    slotsPerTarget: 6,
    connectionsPerTarget: 280,
    probeBudgetPerSecond: 200,
    routing: 'estimated-load',
    longLaneShare: 0.5,
    maxEjectedShare: 0.3,
    retryBudgetShare: 0.1,
    queueCapacity: 256,
    slowStartMs: 2_000,
  };
  const kindsOf = (name: string): unknown =>
    Object.fromEntries(
      FLEET_KINDS.filter(kind => kind.service === name).map(kind => [
        kind.name,
        {
          method: kind.method,
          pathPrefix: kind.path,
          idempotent: kind.idempotent,
          urgent: false,
          long: kind.long,
          worth: kind.worth,
          timeoutMs: kind.timeoutMs,
        },
      ]),
    );
  const services = Object.fromEntries(
    ['growers-desk', 'packhouse-desk'].map(name => [
      name,
      {...service, kinds: kindsOf(name)},
    ]),
  );
  return {
    revision: 1,
    inForce: 'lunch',
    presets: {lunch: {vmCeiling: 30, services}},
  };
}

function vmListDocument(
  shape: FleetShape,
  targets: readonly PlacedTarget[],
): unknown {
  const entries = Array.from({length: shape.vmCount}, (_, i) => ({
    id: vmIdOf(i),
    role: 'entry',
    host: HOST,
    port: portsOf(shape, i).peer,
    failureDomain: domainOf(i),
    state: 'live',
  }));
  const listed = targets.map(target => ({
    id: target.id,
    role: 'target',
    service: target.service,
    host: HOST,
    port: target.port,
    failureDomain: target.failureDomain,
    state: 'live',
  }));
  return {vms: [...entries, ...listed]};
}

function targetSettings(
  shape: FleetShape,
  index: number,
  targets: readonly PlacedTarget[],
): unknown {
  return {
    seed: shape.seed + 1_000 * index,
    controlPort: shape.basePort + 1 + index,
    kinds: FLEET_KINDS.map(({method, path, meanMs}) => ({
      method,
      pathPrefix: path,
      meanMs,
    })),
    targets: targets.map(({id, service, port}) => ({
      id,
      service,
      port,
      slots: 6,
    })),
    ...recordPath(shape, 'ledgerPath', `targets-${index + 1}.ledger`),
    neighbours: {meanGapMs: 5_000, durationMs: 300, factor: 4},
    reportLagMs: 20,
  };
}

function daemonSettings(
  shape: FleetShape,
  index: number,
): Omit<DaemonSettings, 'caller' | 'randomSeed'> & {
  caller: {host: string; port: number};
  randomSeed: number;
} {
  const {caller, operator, peer} = portsOf(shape, index);
  const seeds = Array.from({length: shape.vmCount}, (_, i) => ({
    host: HOST,
    port: portsOf(shape, i).peer,
  })).filter(seed => seed.port !== peer);
  return {
    vmId: vmIdOf(index),
    failureDomain: domainOf(index),
    caller: {host: HOST, port: caller},
    operator: {host: HOST, port: operator},
    peer: {host: HOST, port: peer},
    platformUrls: [`http://${HOST}:${shape.basePort}`],
    seeds,
    leaveDelayMs: shape.leaveDelayMs,
    logLevel: 'info',
    randomSeed: shape.seed + index,
  };
}

/** A setting with the path of a record, or none. */
function recordPath(shape: FleetShape, key: string, name: string): object {
  const {recordFolder} = shape;
  return recordFolder === undefined ? {} : {[key]: join(recordFolder, name)};
}

/** A link of the relay for each ordered pair of entry VMs. */
function relaySettings(shape: FleetShape): unknown {
  const vms = Array.from({length: shape.vmCount}, (_, i) => i);
  const links = vms.flatMap(from =>
    vms
      .filter(to => to !== from)
      .map(to => ({
        from: vmIdOf(from),
        to: vmIdOf(to),
        listenPort: shape.basePort + RELAY_OFFSET + from * shape.vmCount + to,
        targetPort: portsOf(shape, to).peer,
      })),
  );
  return {controlPort: shape.basePort + RELAY_OFFSET - 1, links};
}

function callerSettings(shape: FleetShape): unknown {
  const {durationMs, baseRate, peakRate} = shape;
  return {
    seed: shape.seed,
    entries: Array.from({length: shape.vmCount}, (_, i) => ({
      host: HOST,
      port: portsOf(shape, i).caller,
    })),
    ...recordPath(shape, 'tracePath', 'caller.trace'),
    durationMs,
    curve: [
      {atMs: 0, requestsPerSecond: baseRate},
      {atMs: durationMs * 0.3, requestsPerSecond: baseRate},
      {atMs: durationMs * 0.4, requestsPerSecond: peakRate},
      {atMs: durationMs * 0.7, requestsPerSecond: peakRate},
      {atMs: durationMs, requestsPerSecond: baseRate},
    ],
    kinds: FLEET_KINDS.map(kind => ({
      name: kind.name,
      service: kind.service,
      method: kind.method,
      path: kind.path,
      share: kind.share,
      idempotent: kind.idempotent,
      timeoutMs: kind.timeoutMs,
      worth: kind.worth,
      bodyBytes: kind.method === 'POST' ? 200 : 0,
    })),
    controlPorts: Array.from(
      {length: shape.targetProcessCount},
      (_, i) => shape.basePort + 1 + i,
    ),
  };
}
