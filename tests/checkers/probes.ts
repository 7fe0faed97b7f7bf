/**
 * Program that checks the number of probes in each window of 10 s (I1).
 * Arguments: folder of the run; probe budget per second and service; minimum
 * number of probes in the busiest window of each service.
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

const [folder = '.', budgetPerSecond = '0', minProbeCount = '1'] =
  process.argv.slice(2);
const vmListText = readFileSync(join(folder, 'vms.json'), 'utf8');
const {vms} = JSON.parse(vmListText) as {readonly vms: readonly ListedVm[]};
const serviceByTarget = new Map(vms.map(vm => [vm.id, vm.service]));
const probes = readLedgers(folder).filter(entry => entry.type === 'probe');
const windowBudget = (Number(budgetPerSecond) * WINDOW_MS) / 1_000;
const findings = new Findings();
const figures: Record<string, number> = {budget: windowBudget};
for (const service of new Set(serviceByTarget.values())) {
  const probeTimesMs = probes
    .filter(probe => serviceByTarget.get(probe.target) === service)
    .map(probe => probe.atMs);
  // A busiest window starts at a probe.
  let maxProbeCount = 0;
  let end = 0;
  for (const [start, startMs] of probeTimesMs.entries()) {
    while ((probeTimesMs[end] ?? Infinity) < startMs + WINDOW_MS) {
      end += 1;
    }
    maxProbeCount = Math.max(maxProbeCount, end - start);
  }
  if (service === undefined) {
    continue;
  }
  figures[`busiest window of ${service}`] = maxProbeCount;
  findings.expect(
    maxProbeCount <= windowBudget,
    `${service}: ${maxProbeCount} probes in 10 s, the budget is ${windowBudget}`,
  );
  findings.expect(
    maxProbeCount >= Number(minProbeCount),
    `${service}: too few probes`,
  );
}
findings.printVerdict(figures);
