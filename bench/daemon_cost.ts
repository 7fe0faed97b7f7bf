/**
 * Measures the cost of running daemons from `/proc` and their metrics.
 *
 * Run by bench/daemon_cost.sh with one of these commands:
 * `measure FOLDER SECONDS FILE` appends the means over a fleet as a line of JSON,
 * `table FILE TITLE` prints them with slopes by number of VMs,
 * `calls IDLE_FILE LOADED_FILE` prints the processor time per request.
 *
 * @packageDocumentation
 */
import {appendFile, readFile, readdir} from 'node:fs/promises';
import {basename, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import {BenchTable} from './bench_table.js';
import {slopeOf, type Point} from './slope.js';

/** Units of processor time in `/proc/PID/stat` per second. */
const CLOCK_TICKS_PER_SECOND = 100;

/** Limits of the control overhead per node (docs/design.md, section 1). */
const LIMITS = {corePercent: 1.3, residentMb: 128, bytesPerSecond: 12_000};

const fleetCostSchema = z.object({
  vmCount: z.number(),
  /** Mean over the daemons, in percent of one core. */
  corePercent: z.number(),
  maxCorePercent: z.number(),
  residentMb: z.number(),
  maxResidentMb: z.number(),
  /** Exchanges and pushes, sent plus received, per daemon. */
  gossipBytesPerSecond: z.number(),
  /** Claims, settlements, hand-overs and documents, per daemon. */
  otherBytesPerSecond: z.number(),
  /** Sum over all daemons. */
  probesPerSecond: z.number(),
  platformCallsPerSecond: z.number(),
  platformCallsPending: z.number(),
  /** Per daemon. */
  requestsPerSecond: z.number(),
  loadAverage: z.number(),
});

/** Mean costs of the daemons of one fleet. */
type FleetCost = z.output<typeof fleetCostSchema>;

const platformCallsSchema = z.object({total: z.number(), pending: z.number()});

const settingsSchema = z.object({
  operator: z.object({port: z.number()}),
  platformUrls: z.array(z.string()).min(1),
});

/** One daemon of the fleet. */
interface DaemonProcess {
  readonly pid: string;
  readonly operatorPort: number;
  readonly platformUrl: string;
}

/** Counters of one daemon since its start. */
interface Counters {
  readonly gossipBytes: number;
  readonly otherBytes: number;
  readonly probes: number;
  readonly requests: number;
}

async function findDaemons(folder: string): Promise<readonly DaemonProcess[]> {
  const names = await readdir(folder);
  const files = names.filter(name => /^daemon-\d+\.json$/.test(name));
  return Promise.all(
    files.map(async name => {
      const text = await readFile(join(folder, name), 'utf8');
      const settings = settingsSchema.parse(JSON.parse(text));
      const pidFile = join(folder, `${basename(name, '.json')}.pid`);
      return {
        pid: (await readFile(pidFile, 'utf8')).trim(),
        operatorPort: settings.operator.port,
        platformUrl: settings.platformUrls[0] ?? '',
      };
    }),
  );
}

/** Returns the user and system time of a process, in seconds. */
async function readCpuSeconds(pid: string): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The program name may contain spaces; it ends at the last parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

async function readResidentMb(pid: string): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? NaN) / 1_024;
}

async function readCounters(daemon: DaemonProcess): Promise<Counters> {
  const url = `http://127.0.0.1:${daemon.operatorPort}/metrics`;
  const text = await (await request(url)).body.text();
  const sum = (pattern: RegExp): number =>
    text
      .split('\n')
      .filter(line => pattern.test(line))
      .reduce((total, line) => total + Number(line.split(' ').at(-1)), 0);
  const bytes = 'sycamorepitch_peer_message_bytes_total';
  const gossip = new RegExp(`^${bytes}\\{.*call="(Exchange|Push)"`);
  const gossipBytes = sum(gossip);
  return {
    gossipBytes,
    otherBytes: sum(new RegExp(`^${bytes}\\{`)) - gossipBytes,
    probes: sum(/^sycamorepitch_probes_total\{/),
    requests: sum(/^sycamorepitch_requests_total\{/),
  };
}

async function readPlatformCalls(
  platformUrl: string,
): Promise<z.output<typeof platformCallsSchema>> {
  const {body} = await request(`${platformUrl}/control/calls`);
  return platformCallsSchema.parse(await body.json());
}

async function measure(folder: string, seconds: number): Promise<FleetCost> {
  const daemons = await findDaemons(folder);
  const platformUrl = daemons[0]?.platformUrl ?? '';
  const readAllCounters = (): Promise<readonly Counters[]> =>
    Promise.all(daemons.map(readCounters));
  const readAllCpuSeconds = (): Promise<readonly number[]> =>
    Promise.all(daemons.map(({pid}) => readCpuSeconds(pid)));
  const callsBefore = await readPlatformCalls(platformUrl);
  const before = await readAllCounters();
  const startMs = performance.now();
  // Serving metrics costs the daemons processor time, so it is kept outside.
  const cpuBefore = await readAllCpuSeconds();
  await sleep(seconds * 1_000);
  const cpuAfter = await readAllCpuSeconds();
  const elapsedSeconds = (performance.now() - startMs) / 1_000;
  const after = await readAllCounters();
  const callsAfter = await readPlatformCalls(platformUrl);
  const resident = await Promise.all(
    daemons.map(({pid}) => readResidentMb(pid)),
  );
  const corePercents = cpuAfter.map(
    (value, i) => (100 * (value - (cpuBefore[i] ?? 0))) / elapsedSeconds,
  );
  const rateOf = (valueOf: (counters: Counters) => number): number =>
    (sumOf(after.map(valueOf)) - sumOf(before.map(valueOf))) / elapsedSeconds;
  const loadText = await readFile('/proc/loadavg', 'utf8');
  return {
    vmCount: daemons.length,
    corePercent: sumOf(corePercents) / daemons.length,
    maxCorePercent: Math.max(...corePercents),
    residentMb: sumOf(resident) / daemons.length,
    maxResidentMb: Math.max(...resident),
    gossipBytesPerSecond:
      rateOf(counters => counters.gossipBytes) / daemons.length,
    otherBytesPerSecond:
      rateOf(counters => counters.otherBytes) / daemons.length,
    probesPerSecond: rateOf(counters => counters.probes),
    platformCallsPerSecond:
      (callsAfter.total - callsBefore.total) / elapsedSeconds,
    platformCallsPending: callsAfter.pending,
    requestsPerSecond: rateOf(counters => counters.requests) / daemons.length,
    loadAverage: Number(loadText.split(' ')[0]),
  };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

async function readCosts(path: string): Promise<readonly FleetCost[]> {
  const lines = (await readFile(path, 'utf8')).trim().split('\n');
  return lines.map(line => fleetCostSchema.parse(JSON.parse(line)));
}

function printTable(title: string, costs: readonly FleetCost[]): void {
  console.log(`\n${title}; mean over the daemons, maximum in parentheses`);
  const table = new BenchTable([
    'VMs',
    'core %',
    'memory MB',
    'gossip bytes/s',
    'other bytes/s',
    'probes/s all',
    'platform calls/s',
    'pending',
    'requests/s',
    'load average',
  ]);
  for (const cost of costs) {
    table.add(
      String(cost.vmCount),
      `${cost.corePercent.toFixed(2)} (${cost.maxCorePercent.toFixed(2)})`,
      `${cost.residentMb.toFixed(0)} (${cost.maxResidentMb.toFixed(0)})`,
      cost.gossipBytesPerSecond.toFixed(0),
      cost.otherBytesPerSecond.toFixed(0),
      cost.probesPerSecond.toFixed(0),
      cost.platformCallsPerSecond.toFixed(2),
      String(cost.platformCallsPending),
      cost.requestsPerSecond.toFixed(1),
      cost.loadAverage.toFixed(1),
    );
  }
  table.print();
  if (costs.length < 2) {
    return;
  }
  const slope = (valueOf: (cost: FleetCost) => number): number =>
    slopeOf(costs.map((f): Point => ({x: f.vmCount, y: valueOf(f)})));
  console.log(
    `slope per VM: ${slope(f => f.corePercent).toFixed(3)} % of a core, ` +
      `${slope(f => f.residentMb).toFixed(2)} MB, ` +
      `${slope(f => f.gossipBytesPerSecond).toFixed(0)} bytes/s; limits: ` +
      `${LIMITS.corePercent} %, ${LIMITS.residentMb} MB, ` +
      `${LIMITS.bytesPerSecond} bytes/s`,
  );
}

/** Prints the processor time that a request adds to an idle daemon. */
function printRequestCosts(
  idle: readonly FleetCost[],
  loaded: readonly FleetCost[],
): void {
  for (const cost of loaded) {
    const idleCost = idle.find(({vmCount}) => vmCount === cost.vmCount);
    const addedPercent = cost.corePercent - (idleCost?.corePercent ?? NaN);
    const microsPerRequest = (addedPercent * 10_000) / cost.requestsPerSecond;
    console.log(
      `${cost.vmCount} VMs: ${microsPerRequest.toFixed(0)} us of processor time per request`,
    );
  }
}

async function main(): Promise<void> {
  const [command, first = '', second = '', third = ''] = process.argv.slice(2);
  if (command === 'measure') {
    const cost = await measure(first, Number(second));
    await appendFile(third, `${JSON.stringify(cost)}\n`);
  } else if (command === 'table') {
    printTable(second, await readCosts(first));
  } else if (command === 'calls') {
    printRequestCosts(await readCosts(first), await readCosts(second));
  } else {
    throw new RangeError(`unknown command ${command}`);
  }
}

await main();
