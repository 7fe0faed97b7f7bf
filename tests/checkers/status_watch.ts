/**
 * Program that polls `/status` of VMs and writes each answer as a line of JSON
 * until SIGTERM. Arguments: output file; operator ports.
 *
 * @packageDocumentation
 */
import {openSync, writeSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {DocumentVersion, VmStatus} from '../../src/preset/index.js';

const POLL_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 1_000;

/** Status that a VM reported at one instant. */
export interface StatusRecord {
  /** Monotonic clock of this program, in milliseconds. */
  readonly atMs: number;
  readonly vmId: string;
  readonly bootId: string;
  readonly ready: boolean;
  readonly inForce: string | null;
  readonly config: DocumentVersion | null;
  readonly vms: DocumentVersion | null;
  readonly superseded: readonly DocumentVersion[];
}

function toDocumentVersion(
  status: VmStatus['documents']['vms'],
): DocumentVersion | null {
  const {revision, platformVersion, platformEra, sha256} = status;
  if (revision === null || platformVersion === null || sha256 === null) {
    return null;
  }
  return {revision, platformVersion, platformEra: platformEra ?? 0, sha256};
}

async function poll(port: string, file: number): Promise<void> {
  try {
    const response = await request(`http://127.0.0.1:${port}/status`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const status = (await response.body.json()) as VmStatus;
    const {vmId, bootId, ready, documents} = status;
    const record: StatusRecord = {
      atMs: performance.now(),
      vmId,
      bootId,
      ready,
      inForce: documents.config.inForce,
      config: toDocumentVersion(documents.config),
      vms: toDocumentVersion(documents.vms),
      superseded: documents.config.superseded,
    };
    writeSync(file, `${JSON.stringify(record)}\n`);
  } catch {
    // A VM that is down or paused does not respond.
  }
}

const [path, ...ports] = process.argv.slice(2);
if (path !== undefined && import.meta.url === `file://${process.argv[1]}`) {
  const file = openSync(path, 'w');
  process.on('SIGTERM', () => process.exit(0));
  for (;;) {
    await Promise.all(ports.map(port => poll(port, file)));
    await sleep(POLL_INTERVAL_MS);
  }
}
