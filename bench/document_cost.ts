/**
 * Measures the size of documents for the planned fleet size, and the time to
 * parse them once in a cold process, which blocks the event loop.
 *
 * Usage: node dist/bench/document_cost.js (no random input, so no seed)
 *
 * @packageDocumentation
 */
import {parseConfigDocument, parseVmListDocument} from '../src/preset/index.js';
import {SAMPLE_SERVICE} from '../src/preset/sample_documents.js';

const SERVICE_COUNT = 1_800;
const TARGET_COUNT = 9_400;

const KIND = {idempotent: true, urgent: false, long: false, worth: 1};
const SERVICE = {
  ...SAMPLE_SERVICE,
  kinds: {
    price: {...KIND, method: 'GET', pathPrefix: '/price', timeoutMs: 1_000},
    book: {...KIND, method: 'POST', pathPrefix: '/book', timeoutMs: 2_000},
  },
};

function configText(): string {
  const services = Object.fromEntries(
    Array.from({length: SERVICE_COUNT}, (_, i) => [`service-${i}`, SERVICE]),
  );
  const presets = {day: {vmCeiling: 32, services}};
  return JSON.stringify({revision: 1, inForce: 'day', presets});
}

function vmListText(): string {
  const vms = Array.from({length: TARGET_COUNT}, (_, i) => ({
    id: `t-${i}`,
    role: 'target',
    service: `service-${i % SERVICE_COUNT}`,
    host: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}`,
    port: 8_080,
    failureDomain: `domain-${i % 11}`,
    state: 'live',
  }));
  return JSON.stringify({vms});
}

function measureParsing(
  name: string,
  text: string,
  parse: () => boolean,
): void {
  const startMs = performance.now();
  const cpuBefore = process.cpuUsage();
  const isValid = parse();
  const cpu = process.cpuUsage(cpuBefore);
  const elapsedMs = performance.now() - startMs;
  const cpuMs = (cpu.user + cpu.system) / 1_000;
  console.log(
    `${name}: ${Buffer.byteLength(text)} bytes, parsed in ` +
      `${elapsedMs.toFixed(0)} ms, processor time of all threads ` +
      `${cpuMs.toFixed(0)} ms, ${isValid ? 'valid' : 'rejected'}`,
  );
}

const config = configText();
const vmList = vmListText();
measureParsing('config', config, () => parseConfigDocument(config).isOk());
measureParsing('vms', vmList, () => parseVmListDocument(vmList).isOk());
