/**
 * Program: counts the probes in every window of 10 s (I1). Arguments: folder of
 * the run, probe budget per second and service, least number of probes that the
 * fullest window of each service holds.
 *
 * @packageDocumentation
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {Findings, readLedgers} from './records.js';

const WINDOW_MS = 10_000;

interface ListedVm {
  readonly id: string;
  readonly service?: string;
}

const [folder = '.', budgetPerSecond = '0', least = '1'] =
  process.argv.slice(2);
const text = readFileSync(join(folder, 'vms.json'), 'utf8');
const {vms} = JSON.parse(text) as {readonly vms: readonly ListedVm[]};
const serviceOf = new Map(vms.map(vm => [vm.id, vm.service]));
const probes = readLedgers(folder).filter(entry => entry.type === 'probe');
const budget = (Number(budgetPerSecond) * WINDOW_MS) / 1_000;
const findings = new Findings();
const figures: Record<string, number> = {budget};
for (const service of new Set(serviceOf.values())) {
  const times = probes
    .filter(probe => serviceOf.get(probe.target) === service)
    .map(probe => probe.atMs);
  // A fullest window starts with a probe.
  let fullest = 0;
  let end = 0;
  for (const [start, startMs] of times.entries()) {
    while ((times[end] ?? Infinity) < startMs + WINDOW_MS) {
      end += 1;
    }
    fullest = Math.max(fullest, end - start);
  }
  if (service === undefined) {
    continue;
  }
  figures[`fullest window of ${service}`] = fullest;
  findings.expect(
    fullest <= budget,
    `${service}: ${fullest} probes in 10 s, the budget is ${budget}`,
  );
  findings.expect(fullest >= Number(least), `${service}: hardly any probes`);
}
findings.conclude(figures);
