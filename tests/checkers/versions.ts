/**
 * Program: checks the versions that VMs reported (I7). Arguments: file of
 * `status_watch`; number of VMs; revision that all report at the end; then
 * options: `--within REVISION` demands that all VMs report this revision or a
 * greater one within the bound of I7 after the first one did, and
 * `--superseded REVISION` that a VM lists a superseded version of it.
 *
 * @packageDocumentation
 */
import {parseArgs} from 'node:util';
import type {DocumentVersion} from '../../src/preset/index.js';
import {Findings, readLines} from './records.js';
import type {StatusRecord} from './status_watch.js';

/** Bound for VMs that can reach each other (I7). */
const BOUND_MS = 5_000;

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

/** Order of versions, written here anew so that it checks the product's. */
function isLower(a: DocumentVersion, b: DocumentVersion): boolean {
  if (a.revision !== b.revision) {
    return a.revision < b.revision;
  }
  if (a.platformVersion !== b.platformVersion) {
    return a.platformVersion < b.platformVersion;
  }
  return a.sha256 < b.sha256;
}

const last = new Map<string, StatusRecord>();
for (const record of records) {
  const previous = last.get(record.vmId);
  for (const name of ['config', 'vms'] as const) {
    const before = previous?.[name] ?? null;
    const now = record[name];
    const wentBack = before !== null && now !== null && isLower(now, before);
    findings.expect(
      !wentBack,
      `${record.vmId}: ${name} went back from ${JSON.stringify(before)} to ${JSON.stringify(now)}`,
    );
    const wasLost = record.ready && now === null;
    findings.expect(!wasLost, `${record.vmId} is ready without ${name}`);
  }
  // A replacement that has no document yet must not hide what was reported.
  const config = record.config ?? previous?.config ?? null;
  const vms = record.vms ?? previous?.vms ?? null;
  last.set(record.vmId, {...record, config, vms});
}
const finals = [...last.values()];
const versions = new Set(finals.map(final => JSON.stringify(final.config)));
findings.expect(finals.length === Number(vmCount), 'a VM never answered');
findings.expect(versions.size === 1, `different ends: ${[...versions]}`);
for (const {vmId, config, ready} of finals) {
  findings.expect(
    config?.revision === Number(finalRevision),
    `${vmId} ends with revision ${config?.revision}`,
  );
  findings.expect(ready, `${vmId} is not ready at the end`);
}
const figures: Record<string, number> = {'status answers': records.length};
for (const revision of values.within) {
  const firsts = finals.map(({vmId}) => {
    const first = records.find(
      record =>
        record.vmId === vmId &&
        (record.config?.revision ?? 0) >= Number(revision),
    );
    return first?.atMs ?? Infinity;
  });
  const spreadMs = Math.max(...firsts) - Math.min(...firsts);
  figures[`ms to spread revision ${revision}`] = Math.round(spreadMs);
  findings.expect(
    spreadMs <= BOUND_MS,
    `revision ${revision} took ${spreadMs} ms from the first to the last VM`,
  );
}
for (const revision of values.superseded) {
  const seen = records.some(record =>
    record.superseded.some(version => version.revision === Number(revision)),
  );
  findings.expect(seen, `no VM shows a superseded revision ${revision}`);
}
findings.conclude(figures);
