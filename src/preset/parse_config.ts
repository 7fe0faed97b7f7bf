/**
 * Parsing and validation of the operators' document.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {DocumentError} from './input_issue.js';
import {
  checkText,
  closedObject,
  flag,
  labelName,
  numberIn,
  oneOf,
  stringMatching,
  wholeNumber,
  type RuleIssue,
} from './schema_parts.js';
import type {
  ConfigDocument,
  KindPreset,
  Preset,
  RoutingPolicyName,
  ServicePreset,
} from './types.js';

/** Window of the probe budget, in seconds (design page, section 3.5). */
const PROBE_WINDOW_SECONDS = 10;

/** Names of the routing policies. */
export const ROUTING_POLICY_NAMES = [
  'estimated-load',
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
] as const satisfies readonly RoutingPolicyName[];

/** HTTP methods allowed for a kind. */
const METHODS = [
  'GET',
  'HEAD',
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
  'OPTIONS',
] as const;

const kindSchema = closedObject({
  method: oneOf(METHODS),
  pathPrefix: stringMatching(
    /^\/[!$&-;=@-Z_a-z~%]{0,255}$/,
    'a path of up to 256 characters that starts with a slash, without query',
  ),
  idempotent: flag(),
  urgent: flag().default(false),
  long: flag().default(false),
  worth: numberIn(0, 1_000_000),
  timeoutMs: wholeNumber(1, 600_000, 'ms'),
});

const serviceSchema = closedObject({
  slotsPerTarget: wholeNumber(1, 10_000),
  connectionsPerTarget: wholeNumber(1, 100_000),
  probeBudgetPerSecond: numberIn(0, 1_000_000),
  routing: oneOf(ROUTING_POLICY_NAMES),
  longLaneShare: numberIn(0, 1),
  maxEjectedShare: numberIn(0, 1),
  retryBudgetShare: numberIn(0, 1),
  queueCapacity: wholeNumber(0, 1_000_000),
  slowStartMs: wholeNumber(0, 600_000, 'ms'),
  admission: flag().default(true),
  kinds: z.record(labelName(), kindSchema, {error: 'an object of kinds'}),
});

const presetSchema = closedObject({
  vmCeiling: wholeNumber(1, 10_000),
  services: z.record(labelName(), serviceSchema, {
    error: 'an object of services',
  }),
});

const configSchema = closedObject({
  revision: wholeNumber(1, Number.MAX_SAFE_INTEGER),
  inForce: labelName(),
  presets: z.record(labelName(), presetSchema, {
    error: 'an object of presets',
  }),
});

/**
 * Parses and validates the operators' document. Pure.
 *
 * @param body - JSON text with comments, at most 1 MiB
 * @returns the document, or an error with all issues
 *
 * @example
 * ```ts
 * const parsed = parseConfigDocument(text);
 * if (parsed.isErr()) {
 *   console.log(parsed.error.issues.map(formatIssue).join('\n'));
 * }
 * ```
 */
export function parseConfigDocument(
  body: string,
): Result<ConfigDocument, DocumentError> {
  return checkText(body, configSchema, [
    checkInForce,
    checkAmbiguousKinds,
    checkDividedShares,
  ])
    .map(toConfigDocument)
    .mapErr(issues => ({type: 'invalid-document', name: 'config', issues}));
}

/**
 * Normalizes a path prefix by removing trailing slashes, so that `/book` and
 * `/book/` are equal.
 *
 * @param prefix - path prefix of a kind
 * @returns the normalized prefix; empty for `/`
 *
 * @example
 * ```ts
 * normalizePrefix('/book/'); // '/book'
 * ```
 */
export function normalizePrefix(prefix: string): string {
  // A loop, because a regular expression takes quadratic time on long runs of
  // slashes.
  let end = prefix.length;
  while (prefix[end - 1] === '/') {
    end--;
  }
  return prefix.slice(0, end);
}

/** Checks that `inForce` names a preset. */
function checkInForce(value: unknown): readonly RuleIssue[] {
  const document = asRecord(value);
  const presets = asRecord(document['presets']);
  const inForce = document['inForce'];
  if (typeof inForce !== 'string' || Object.hasOwn(presets, inForce)) {
    return [];
  }
  const names = Object.keys(presets).join(', ');
  const expected = `the name of a preset in this document (${names})`;
  return [{path: ['inForce'], expected}];
}

/** Checks that no two kinds of a service share method and path prefix. */
function checkAmbiguousKinds(value: unknown): readonly RuleIssue[] {
  return listServices(value).flatMap(({service, path}) => {
    const issues: RuleIssue[] = [];
    const seen = new Map<string, string>();
    for (const [name, kind] of Object.entries(asRecord(service['kinds']))) {
      const {method, pathPrefix} = asRecord(kind);
      const key = `${method} ${normalizePrefix(String(pathPrefix))}`;
      const otherName = seen.get(key);
      if (pathPrefix !== undefined && otherName !== undefined) {
        issues.push({
          path: [...path, 'kinds', name, 'pathPrefix'],
          expected: `a method and path prefix other than those of kind ${otherName}`,
        });
      }
      seen.set(key, name);
    }
    return issues;
  });
}

/**
 * Checks budgets that are divided by `vmCeiling` and rounded down. A share of
 * zero would leave every VM without connections or probes although the preset
 * configures some.
 */
function checkDividedShares(value: unknown): readonly RuleIssue[] {
  return listServices(value).flatMap(({service, path, vmCeiling}) => {
    const issues: RuleIssue[] = [];
    const connections = service['connectionsPerTarget'];
    if (typeof connections === 'number' && connections < vmCeiling) {
      issues.push({
        path: [...path, 'connectionsPerTarget'],
        expected: `at least vmCeiling (${vmCeiling}): one connection for each VM`,
      });
    }
    const budget = service['probeBudgetPerSecond'];
    const minBudget = vmCeiling / PROBE_WINDOW_SECONDS;
    if (typeof budget === 'number' && budget > 0 && budget < minBudget) {
      issues.push({
        path: [...path, 'probeBudgetPerSecond'],
        expected: `0, or at least ${minBudget}: one probe in ${PROBE_WINDOW_SECONDS} s for each of ${vmCeiling} VMs`,
      });
    }
    return issues;
  });
}

/** A service of an unchecked document. */
interface UncheckedService {
  readonly service: Readonly<Record<string, unknown>>;
  readonly path: readonly string[];
  /** VM ceiling of the preset; 0 if it is not a number. */
  readonly vmCeiling: number;
}

/** Lists the services of all presets of an unchecked document. */
function listServices(value: unknown): readonly UncheckedService[] {
  const presets = asRecord(asRecord(value)['presets']);
  return Object.entries(presets).flatMap(([presetName, preset]) => {
    const {vmCeiling, services} = asRecord(preset);
    return Object.entries(asRecord(services)).map(([name, service]) => ({
      service: asRecord(service),
      path: ['presets', presetName, 'services', name],
      vmCeiling: typeof vmCeiling === 'number' ? vmCeiling : 0,
    }));
  });
}

/** Returns the value if it is an object, else an empty object. */
function asRecord(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as Record<string, unknown>)
    : {};
}

/** Converts a parsed document: adds names and turns objects into maps. */
function toConfigDocument(
  parsed: z.infer<typeof configSchema>,
): ConfigDocument {
  const presets = mapEntries(parsed.presets, (name, preset): Preset => ({
    name,
    vmCeiling: preset.vmCeiling,
    services: mapEntries(preset.services, toServicePreset),
  }));
  return {revision: parsed.revision, inForce: parsed.inForce, presets};
}

/** Adds names to a service and its kinds. */
function toServicePreset(
  name: string,
  service: z.infer<typeof serviceSchema>,
): ServicePreset {
  const kinds = Object.entries(service.kinds).map(
    ([kindName, kind]): KindPreset => ({name: kindName, ...kind}),
  );
  return {...service, name, kinds};
}

/** Maps the entries of an object to a map. */
function mapEntries<A, B>(
  entries: Readonly<Record<string, A>>,
  convert: (name: string, value: A) => B,
): ReadonlyMap<string, B> {
  return new Map(
    Object.entries(entries).map(([name, value]) => [
      name,
      convert(name, value),
    ]),
  );
}
