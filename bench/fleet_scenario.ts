/**
 * Defines scenarios of the simulated fleet: deployments, kinds, load curves and
 * faults.
 *
 * @packageDocumentation
 */
import {readFileSync} from 'node:fs';
import {parseConfigDocument, type Preset} from '../src/preset/index.js';

/** Properties of a deployment that its preset does not contain. */
export interface Deployment {
  readonly name: string;
  readonly service: string;
  readonly targetCount: number;
  readonly failureDomains: readonly string[];
  /** One-way latency between failure domains in milliseconds. */
  readonly latencyMs: number;
  readonly mix: readonly KindShare[];
  /** Kind that the preset marks as urgent; undefined if there is none. */
  readonly urgentKind: string | undefined;
}

/** Share of one kind in the demand. */
export interface KindShare {
  /** Name of the kind in the preset. */
  readonly kind: string;
  /** Share of the requests. */
  readonly share: number;
  /** Mean service time; for a long kind, before the factor is applied. */
  readonly meanMs: number;
  readonly isLong: boolean;
}

/** Fault or change at an instant of the simulation. */
export type Incident =
  | {readonly type: 'split'; readonly atMs: number; readonly untilMs: number}
  | {readonly type: 'replace-vm'; readonly atMs: number; readonly vm: number}
  | {readonly type: 'drain'; readonly atMs: number; readonly target: number}
  | {readonly type: 'poison'; readonly atMs: number};

/** Parameters of one simulated run. */
export interface Scenario {
  readonly deployment: Deployment;
  readonly preset: Preset;
  readonly seed: number;
  /** Requests that arrive before this instant are not counted. */
  readonly warmUpMs: number;
  /** Instant after which no request arrives. */
  readonly endMs: number;
  /** Offered load as a share of the capacity of all slots. */
  readonly loadAt: (nowMs: number) => number;
  /** Factor by which requests of a long kind run longer. */
  readonly longFactor: number;
  /** Maximum number of copies of a request that its caller sends. */
  readonly maxCopies: number;
  /**
   * Queue limit of a target whose slots are busy; it refuses other requests.
   */
  readonly targetQueueLimit: number;
  /** Whether VMs publish probe results by gossip. */
  readonly sharesReports: boolean;
  /** Whether responses carry the load of the target. */
  readonly reportsOnResponses: boolean;
  /** Whether VMs quarantine requests that crash targets. */
  readonly quarantines: boolean;
  readonly incidents: readonly Incident[];
}

/** Main services of the two deployments (design page, section 1). */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'himali',
    service: 'growers-desk',
    targetCount: 20,
    failureDomains: ['a', 'b', 'c'],
    latencyMs: 0.5,
    urgentKind: undefined,
    mix: [
      {kind: 'price-check', share: 0.44, meanMs: 15, isLong: false},
      {kind: 'stock-check', share: 0.3, meanMs: 20, isLong: false},
      {kind: 'booking', share: 0.25, meanMs: 25, isLong: false},
      {kind: 'stock-batch-check', share: 0.01, meanMs: 20, isLong: true},
    ],
  },
  {
    name: 'society',
    service: 'orders-desk',
    targetCount: 30,
    failureDomains: ['kalutara', 'panadura', 'beruwala'],
    latencyMs: 1,
    urgentKind: 'kiln-check',
    mix: [
      {kind: 'stock-lookup', share: 0.44, meanMs: 15, isLong: false},
      {kind: 'kiln-check', share: 0.3, meanMs: 20, isLong: false},
      {kind: 'order-placement', share: 0.25, meanMs: 25, isLong: false},
      {kind: 'large-placement', share: 0.01, meanMs: 20, isLong: true},
    ],
  },
];

/** Overrides of a preset whose effects a table compares. */
export interface PresetOverrides {
  readonly longLaneShare?: number;
  readonly retryBudgetShare?: number;
  readonly admission?: boolean;
  readonly queueCapacity?: number;
  /** False treats urgent kinds as ordinary ones. */
  readonly urgency?: boolean;
  /** False gives all kinds the same worth in the queue. */
  readonly worth?: boolean;
}

/**
 * Reads a documented preset and applies overrides to its service.
 *
 * @param deployment - deployment whose presets are read
 * @param name - name of the preset
 * @param overrides - values that replace those of the document
 * @returns the preset, reduced to the deployment's main service
 * @throws RangeError if the document lacks the preset or the service
 */
export function loadPreset(
  deployment: Deployment,
  name: string,
  overrides: PresetOverrides = {},
): Preset {
  const path = `../../deploy/${deployment.name}/presets.jsonc`;
  const body = readFileSync(new URL(path, import.meta.url), 'utf8');
  const preset = parseConfigDocument(body)
    .unwrapOr(undefined)
    ?.presets.get(name);
  const service = preset?.services.get(deployment.service);
  if (preset === undefined || service === undefined) {
    throw new RangeError(`${path} lacks ${name}/${deployment.service}`);
  }
  const {urgency = true, worth = true, ...fields} = overrides;
  const kinds = service.kinds.map(kind => ({
    ...kind,
    urgent: kind.urgent && urgency,
    worth: worth ? kind.worth : 1,
  }));
  const changed = {...service, ...fields, kinds};
  return {...preset, services: new Map([[deployment.service, changed]])};
}

/**
 * Returns the mean service time over the mix of kinds, without neighbours.
 *
 * @param scenario - mix and factor of the long kinds
 * @returns milliseconds
 */
export function meanWorkMs(
  scenario: Pick<Scenario, 'deployment' | 'longFactor'>,
): number {
  return scenario.deployment.mix.reduce((sum, {share, meanMs, isLong}) => {
    const factor = isLong ? scenario.longFactor : 1;
    return sum + share * meanMs * factor;
  }, 0);
}

/**
 * Returns a load curve that rises to a multiple within one second, and later
 * falls back within one second.
 *
 * @param options - `base`: load before and after; `factor`: multiple;
 *     `startMs`: start of the rise; `endMs`: start of the fall
 * @returns load by instant in milliseconds
 */
export function crest(options: {
  readonly base: number;
  readonly factor: number;
  readonly startMs: number;
  readonly endMs: number;
}): (nowMs: number) => number {
  const {base, factor, startMs, endMs} = options;
  return nowMs => {
    const risen = Math.min(Math.max((nowMs - startMs) / 1_000, 0), 1);
    const fallen = Math.min(Math.max((nowMs - endMs) / 1_000, 0), 1);
    return base * (1 + (factor - 1) * (risen - fallen));
  };
}
