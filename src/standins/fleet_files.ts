/**
 * Generator of settings for a fleet on loopback ports.
 *
 * @packageDocumentation
 */
import {join} from 'node:path';
import type {DaemonSettings} from '../settings/index.js';
import {FLEET_KINDS} from './fleet_kinds.js';

const HOST = '127.0.0.1';

/** Maximum number of entry VMs; also the distance between their port ranges. */
const MAX_VM_COUNT = 50;

/** Offset of the relay's first link port from the fleet's first port. */
const RELAY_PORT_OFFSET = 300;

/** Parameters of a fleet. */
export interface FleetShape {
  readonly seed: number;
  readonly vmCount: number;
  /** Number of processes across which the targets are distributed. */
  readonly targetProcessCount: number;
  readonly growersTargetCount: number;
  readonly packhouseTargetCount: number;
  /** First port; the fleet uses at most 400 ports from here. */
  readonly basePort: number;
  /** Duration of the caller's load curve. */
  readonly durationMs: number;
  /** Requests per second at both ends of the load curve. */
  readonly baseRate: number;
  /** Requests per second at the peak of the load curve. */
  readonly peakRate: number;
  readonly leaveDelayMs: number;
  /** Folder for the ledgers and the caller's trace; no recording if absent. */
  readonly recordFolder?: string;
}

/** Small fleet with a short load peak. */
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

/** Target with its address, failure domain and process. */
interface PlacedTarget {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly processIndex: number;
}

/**
 * Creates the settings files of a fleet.
 *
 * @param shape - parameters of the fleet
 * @returns file contents by file name, to be encoded as JSON
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
    const processTargets = targets.filter(target => target.processIndex === i);
    files.set(
      `targets-${i + 1}.json`,
      targetSettings(shape, i, processTargets),
    );
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
    port: shape.basePort + 3 * MAX_VM_COUNT + 50 + i,
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
  return {
    caller,
    operator: caller + MAX_VM_COUNT,
    peer: caller + 2 * MAX_VM_COUNT,
  };
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
  const entryVms = Array.from({length: shape.vmCount}, (_, i) => ({
    id: vmIdOf(i),
    role: 'entry',
    host: HOST,
    port: portsOf(shape, i).peer,
    failureDomain: domainOf(i),
    state: 'live',
  }));
  const targetVms = targets.map(target => ({
    id: target.id,
    role: 'target',
    service: target.service,
    host: HOST,
    port: target.port,
    failureDomain: target.failureDomain,
    state: 'live',
  }));
  return {vms: [...entryVms, ...targetVms]};
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
    ...recordPathSetting(shape, 'ledgerPath', `targets-${index + 1}.ledger`),
    neighbours: {meanGapMs: 5_000, durationMs: 300, factor: 4},
    reportLagMs: 20,
  };
}

function daemonSettings(
  shape: FleetShape,
  index: number,
): Omit<
  DaemonSettings,
  'caller' | 'randomSeed' | 'memoryMb' | 'maxDescriptors'
> & {
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
    relay: undefined,
    platformUrls: [`http://${HOST}:${shape.basePort}`],
    seeds,
    leaveDelayMs: shape.leaveDelayMs,
    logLevel: 'info',
    randomSeed: shape.seed + index,
  };
}

/** Returns a setting with the path of a record, or none without recording. */
function recordPathSetting(
  shape: FleetShape,
  key: string,
  name: string,
): object {
  const {recordFolder} = shape;
  return recordFolder === undefined ? {} : {[key]: join(recordFolder, name)};
}

/** Returns relay settings with a link for each ordered pair of entry VMs. */
function relaySettings(shape: FleetShape): unknown {
  const vms = Array.from({length: shape.vmCount}, (_, i) => i);
  const links = vms.flatMap(from =>
    vms
      .filter(to => to !== from)
      .map(to => ({
        from: vmIdOf(from),
        to: vmIdOf(to),
        listenPort:
          shape.basePort + RELAY_PORT_OFFSET + from * shape.vmCount + to,
        targetPort: portsOf(shape, to).peer,
      })),
  );
  return {controlPort: shape.basePort + RELAY_PORT_OFFSET - 1, links};
}

function callerSettings(shape: FleetShape): unknown {
  const {durationMs, baseRate, peakRate} = shape;
  return {
    seed: shape.seed,
    entries: Array.from({length: shape.vmCount}, (_, i) => ({
      host: HOST,
      port: portsOf(shape, i).caller,
    })),
    ...recordPathSetting(shape, 'tracePath', 'caller.trace'),
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
