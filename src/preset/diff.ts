/**
 * Differences of two config documents in plain words.
 *
 * @packageDocumentation
 */
import type {
  ConfigDocument,
  KindPreset,
  Preset,
  ServicePreset,
} from './types.js';

/** One difference. */
export interface DocumentChange {
  /** Where, such as `preset lunch, service growers-desk`; empty for the top. */
  readonly place: string;
  /** What, such as `queue capacity changes from 256 to 512`. */
  readonly text: string;
  /** True if the change concerns the preset in force after it. */
  readonly inForce: boolean;
}

/** Fields that are not compared as plain values. */
const STRUCTURE_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'services',
  'kinds',
]);

/** Difference without the mark of the preset in force. */
type PlainChange = Omit<DocumentChange, 'inForce'>;

/** Differences of the contents of two entries with the same name. */
type Compare<T> = (
  before: T,
  after: T,
  place: string,
) => readonly PlainChange[];

/**
 * Compares two config documents. Pure.
 *
 * @param before - older document
 * @param after - newer document
 * @returns the differences, the preset in force first; empty if there is none
 *
 * @example
 * ```ts
 * const lines = diffConfigs(before, after).map(formatChange);
 * ```
 */
export function diffConfigs(
  before: ConfigDocument,
  after: ConfigDocument,
): readonly DocumentChange[] {
  const changes: DocumentChange[] = [];
  if (before.revision !== after.revision) {
    const text = describeChange('revision', before.revision, after.revision);
    changes.push({place: '', text, inForce: false});
  }
  if (before.inForce !== after.inForce) {
    const text = describeChange(
      'preset in force',
      before.inForce,
      after.inForce,
    );
    changes.push({place: '', text, inForce: true});
  }
  const presetChanges = diffMaps(
    'preset',
    before.presets,
    after.presets,
    '',
    diffPresets,
  );
  const prefix = `preset ${after.inForce}`;
  const marked = presetChanges.map(change => ({
    ...change,
    inForce: change.place === prefix || change.place.startsWith(`${prefix},`),
  }));
  return [
    ...changes,
    ...marked.filter(change => change.inForce),
    ...marked.filter(change => !change.inForce),
  ];
}

/**
 * Formats a difference as one line of text.
 *
 * @param change - difference to format
 * @returns text such as `* preset lunch: vm ceiling changes from 24 to 30`; the
 *     asterisk marks changes that act on requests at once
 *
 * @example
 * ```ts
 * const lines = diffConfigs(before, after).map(formatChange);
 * ```
 */
export function formatChange(change: DocumentChange): string {
  const mark = change.inForce ? '* ' : '  ';
  const place = change.place === '' ? '' : `${change.place}: `;
  return `${mark}${place}${change.text}`;
}

/** Differences of two presets. */
const diffPresets: Compare<Preset> = (before, after, place) => [
  ...diffFields(before, after, place),
  ...diffMaps('service', before.services, after.services, place, diffServices),
];

/** Differences of two services. */
const diffServices: Compare<ServicePreset> = (before, after, place) => [
  ...diffFields(before, after, place),
  ...diffMaps(
    'kind',
    kindsByName(before),
    kindsByName(after),
    place,
    diffFields,
  ),
];

/** Differences of two maps by name. */
function diffMaps<T>(
  noun: string,
  before: ReadonlyMap<string, T>,
  after: ReadonlyMap<string, T>,
  place: string,
  compare: Compare<T>,
): readonly PlainChange[] {
  const names = new Set([...before.keys(), ...after.keys()]);
  return [...names].flatMap(name => {
    const inner =
      place === '' ? `${noun} ${name}` : `${place}, ${noun} ${name}`;
    const old = before.get(name);
    const current = after.get(name);
    if (old === undefined) {
      return [{place: inner, text: 'added'}];
    }
    if (current === undefined) {
      return [{place: inner, text: 'removed'}];
    }
    return compare(old, current, inner);
  });
}

/** Differences of the plain fields of two objects of one shape. */
function diffFields<T extends object>(
  before: T,
  after: T,
  place: string,
): readonly PlainChange[] {
  const keys = Object.keys(before) as (keyof T & string)[];
  return keys
    .filter(key => !STRUCTURE_FIELDS.has(key) && before[key] !== after[key])
    .map(key => ({
      place,
      text: describeChange(toWords(key), before[key], after[key]),
    }));
}

/** One change in words. */
function describeChange(what: string, before: unknown, after: unknown): string {
  return `${what} changes from ${toText(before)} to ${toText(after)}`;
}

/** Value in words. */
function toText(value: unknown): string {
  if (typeof value === 'boolean') {
    return value ? 'yes' : 'no';
  }
  return String(value);
}

/** `slowStartMs` becomes `slow start (ms)`. */
function toWords(field: string): string {
  const words = field.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
  return words.replace(/ ms$/, ' (ms)');
}

/** Kinds of a service by name. */
function kindsByName(service: ServicePreset): ReadonlyMap<string, KindPreset> {
  return new Map(service.kinds.map(kind => [kind.name, kind]));
}
