/**
 * Reads the cost of running daemons from `/proc` and their metrics.
 *
 * Usage, by bench/daemon_cost.sh:
 * `measure FOLDER SECONDS FILE` appends the means over a fleet as a line of JSON,
 * `table FILE TITLE` prints them with slopes over the number of VMs,
 * `calls IDLE_FILE LOADED_FILE` prints the processor time of one call.
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

/** Unit of processor time in `/proc/PID/stat`, per second. */
const CLOCK_TICKS_PER_SECOND = 100;

/** Limits of the control overhead of one node (docs/design.md, section 1). */
const LIMITS = {corePercent: 1.3, residentMb: 128, bytesPerSecond: 12_000};

const figuresSchema = z.object({
  vmCount: z.number(),
  /** Mean over the daemons, in percent of a core. */
  corePercent: z.number(),
  maxCorePercent: z.number(),
  residentMb: z.number(),
  maxResidentMb: z.number(),
  /** Exchanges and pushes, sent plus received, per daemon and second. */
  gossipBytesPerSecond: z.number(),
  /** Claims, settlements, hand-overs and documents. */
  otherBytesPerSecond: z.number(),
  /** Of all daemons. */
  probesPerSecond: z.number(),
  platformCallsPerSecond: z.number(),
  platformCallsPending: z.number(),
  /** Per daemon. */
  requestsPerSecond: z.number(),
  loadAverage: z.number(),
});

/** Means over one fleet. */
type Figures = z.output<typeof figuresSchema>;

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

/** User and system time of a process, in seconds. */
async function cpuSeconds(pid: string): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The name of the program may hold spaces; it ends with the last bracket.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

async function residentMb(pid: string): Promise<number> {
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

async function measure(folder: string, seconds: number): Promise<Figures> {
  const daemons = await findDaemons(folder);
  const platformUrl = daemons[0]?.platformUrl ?? '';
  const countersOf = (): Promise<readonly Counters[]> =>
    Promise.all(daemons.map(readCounters));
  const cpuOf = (): Promise<readonly number[]> =>
    Promise.all(daemons.map(({pid}) => cpuSeconds(pid)));
  const callsBefore = await readPlatformCalls(platformUrl);
  const before = await countersOf();
  const startMs = performance.now();
  // Reading the metrics costs processor time, so it stays outside.
  const cpuBefore = await cpuOf();
  await sleep(seconds * 1_000);
  const cpuAfter = await cpuOf();
  const elapsedSeconds = (performance.now() - startMs) / 1_000;
  const after = await countersOf();
  const callsAfter = await readPlatformCalls(platformUrl);
  const resident = await Promise.all(daemons.map(({pid}) => residentMb(pid)));
  const cores = cpuAfter.map(
    (value, i) => (100 * (value - (cpuBefore[i] ?? 0))) / elapsedSeconds,
  );
  const rateOf = (value: (counters: Counters) => number): number =>
    (sumOf(after.map(value)) - sumOf(before.map(value))) / elapsedSeconds;
  const loadText = await readFile('/proc/loadavg', 'utf8');
  return {
    vmCount: daemons.length,
    corePercent: sumOf(cores) / daemons.length,
    maxCorePercent: Math.max(...cores),
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

async function readFigures(path: string): Promise<readonly Figures[]> {
  const lines = (await readFile(path, 'utf8')).trim().split('\n');
  return lines.map(line => figuresSchema.parse(JSON.parse(line)));
}

function printTable(title: string, figures: readonly Figures[]): void {
  console.log(`\n${title}; mean over the daemons, greatest in brackets`);
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
  for (const figure of figures) {
    table.add(
      String(figure.vmCount),
      `${figure.corePercent.toFixed(2)} (${figure.maxCorePercent.toFixed(2)})`,
      `${figure.residentMb.toFixed(0)} (${figure.maxResidentMb.toFixed(0)})`,
      figure.gossipBytesPerSecond.toFixed(0),
      figure.otherBytesPerSecond.toFixed(0),
      figure.probesPerSecond.toFixed(0),
      figure.platformCallsPerSecond.toFixed(2),
      String(figure.platformCallsPending),
      figure.requestsPerSecond.toFixed(1),
      figure.loadAverage.toFixed(1),
    );
  }
  table.print();
  if (figures.length < 2) {
    return;
  }
  const slope = (valueOf: (figure: Figures) => number): number =>
    slopeOf(figures.map((f): Point => ({x: f.vmCount, y: valueOf(f)})));
  console.log(
    `slope per VM: ${slope(f => f.corePercent).toFixed(3)} % of a core, ` +
      `${slope(f => f.residentMb).toFixed(2)} MB, ` +
      `${slope(f => f.gossipBytesPerSecond).toFixed(0)} bytes/s; limits: ` +
      `${LIMITS.corePercent} %, ${LIMITS.residentMb} MB, ` +
      `${LIMITS.bytesPerSecond} bytes/s`,
  );
}

/** Prints the processor time that a call adds to an idle daemon. */
function printCalls(
  idle: readonly Figures[],
  loaded: readonly Figures[],
): void {
  for (const figure of loaded) {
    const base = idle.find(({vmCount}) => vmCount === figure.vmCount);
    const addedPercent = figure.corePercent - (base?.corePercent ?? NaN);
    const perCallMicros = (addedPercent * 10_000) / figure.requestsPerSecond;
    console.log(
      `${figure.vmCount} VMs: ${perCallMicros.toFixed(0)} us of processor time a call`,
    );
  }
}

async function main(): Promise<void> {
  const [command, first = '', second = '', third = ''] = process.argv.slice(2);
  if (command === 'measure') {
    const figures = await measure(first, Number(second));
    await appendFile(third, `${JSON.stringify(figures)}\n`);
  } else if (command === 'table') {
    printTable(second, await readFigures(first));
  } else if (command === 'calls') {
    printCalls(await readFigures(first), await readFigures(second));
  } else {
    throw new RangeError(`unknown command ${command}`);
  }
}

await main();
