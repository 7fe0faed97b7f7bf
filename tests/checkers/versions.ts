/**
 * Program that checks the document versions that VMs reported (I7). Arguments:
 * output file of `status_watch`; number of VMs; revision that all VMs must
 * report at the end. Options: `--within REVISION` requires all VMs to report
 * this revision or a higher one within the bound of I7 after the first VM does;
 * `--superseded REVISION` requires a VM to list a superseded version of it.
 *
 * @packageDocumentation
 */
import {parseArgs} from 'node:util';
import type {DocumentVersion} from '../../src/preset/index.js';
import {Findings, readLines} from './records.js';
import type {StatusRecord} from './status_watch.js';

/**
 * Maximum time to spread a revision among VMs that can reach each other (I7).
 */
const MAX_SPREAD_MS = 5_000;

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    within: {type: 'string', multiple: true, default: []},
    superseded: {type: 'string', multiple: true, default: []},
  },
});
const [path = '', vmCount = '0', finalRevision = '0'] = positionals;
const records = readLines<StatusRecord>(path);
const findings = new Findings();

/** Compares versions; independent of the product's order, which it checks. */
function isLower(a: DocumentVersion, b: DocumentVersion): boolean {
  if (a.revision !== b.revision) {
    return a.revision < b.revision;
  }
  if (a.platformEra !== b.platformEra) {
    return a.platformEra < b.platformEra;
  }
  if (a.platformVersion !== b.platformVersion) {
    return a.platformVersion < b.platformVersion;
  }
  return a.sha256 < b.sha256;
}

const lastRecords = new Map<string, StatusRecord>();
for (const record of records) {
  const previous = lastRecords.get(record.vmId);
  for (const name of ['config', 'vms'] as const) {
    const previousVersion = previous?.[name] ?? null;
    const currentVersion = record[name];
    const wentBack =
      previousVersion !== null &&
      currentVersion !== null &&
      isLower(currentVersion, previousVersion);
    findings.expect(
      !wentBack,
      `${record.vmId}: ${name} went back from ${JSON.stringify(previousVersion)} to ${JSON.stringify(currentVersion)}`,
    );
    const wasLost = record.ready && currentVersion === null;
    findings.expect(!wasLost, `${record.vmId} is ready without ${name}`);
  }
  // A replacement without a document must not hide earlier reports of its VM.
  const config = record.config ?? previous?.config ?? null;
  const vms = record.vms ?? previous?.vms ?? null;
  lastRecords.set(record.vmId, {...record, config, vms});
}
const finalRecords = [...lastRecords.values()];
const finalVersions = new Set(
  finalRecords.map(final => JSON.stringify(final.config)),
);
findings.expect(
  finalRecords.length === Number(vmCount),
  'a VM never responded',
);
findings.expect(
  finalVersions.size === 1,
  `VMs end with different versions: ${[...finalVersions]}`,
);
for (const {vmId, config, ready} of finalRecords) {
  findings.expect(
    config?.revision === Number(finalRevision),
    `${vmId} ends with revision ${config?.revision}`,
  );
  findings.expect(ready, `${vmId} is not ready at the end`);
}
const figures: Record<string, number> = {'status answers': records.length};
for (const revision of values.within) {
  const firstReportTimesMs = finalRecords.map(({vmId}) => {
    const first = records.find(
      record =>
        record.vmId === vmId &&
        (record.config?.revision ?? 0) >= Number(revision),
    );
    return first?.atMs ?? Infinity;
  });
  const spreadMs =
    Math.max(...firstReportTimesMs) - Math.min(...firstReportTimesMs);
  figures[`ms to spread revision ${revision}`] = Math.round(spreadMs);
  findings.expect(
    spreadMs <= MAX_SPREAD_MS,
    `revision ${revision} took ${spreadMs} ms from the first to the last VM`,
  );
}
for (const revision of values.superseded) {
  const seen = records.some(record =>
    record.superseded.some(version => version.revision === Number(revision)),
  );
  findings.expect(seen, `no VM shows a superseded revision ${revision}`);
}
findings.printVerdict(figures);
