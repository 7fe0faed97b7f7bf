/**
 * Differences between two config documents, as text.
 *
 * @packageDocumentation
 */
import type {
  ConfigDocument,
  KindPreset,
  Preset,
  ServicePreset,
} from './types.js';

/** A difference between two documents. */
export interface DocumentChange {
  /** Path such as `preset lunch, service growers-desk`; empty at the top. */
  readonly place: string;
  /** Description, such as `queue capacity changes from 256 to 512`. */
  readonly text: string;
  /** True if the change affects the preset in force in the newer document. */
  readonly inForce: boolean;
}

/** Fields that are compared by structure, not as plain values. */
const STRUCTURE_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'services',
  'kinds',
]);

/** A difference without the mark of the preset in force. */
type PlainChange = Omit<DocumentChange, 'inForce'>;

/** Compares the contents of two entries with the same name. */
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
 * @returns the differences, those of the preset in force first
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
 *     asterisk marks changes that affect requests immediately
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

/** Compares two presets. */
const diffPresets: Compare<Preset> = (before, after, place) => [
  ...diffFields(before, after, place),
  ...diffMaps('service', before.services, after.services, place, diffServices),
];

/** Compares two services. */
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

/** Compares two maps by name. */
function diffMaps<T>(
  noun: string,
  before: ReadonlyMap<string, T>,
  after: ReadonlyMap<string, T>,
  place: string,
  compare: Compare<T>,
): readonly PlainChange[] {
  const names = new Set([...before.keys(), ...after.keys()]);
  return [...names].flatMap(name => {
    const entryPlace =
      place === '' ? `${noun} ${name}` : `${place}, ${noun} ${name}`;
    const old = before.get(name);
    const current = after.get(name);
    if (old === undefined) {
      return [{place: entryPlace, text: 'added'}];
    }
    if (current === undefined) {
      return [{place: entryPlace, text: 'removed'}];
    }
    return compare(old, current, entryPlace);
  });
}

/** Compares the plain fields of two objects of the same shape. */
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

/** Describes one change of a value. */
function describeChange(
  subject: string,
  before: unknown,
  after: unknown,
): string {
  return `${subject} changes from ${toText(before)} to ${toText(after)}`;
}

/** Formats a value as text. */
function toText(value: unknown): string {
  if (typeof value === 'boolean') {
    return value ? 'yes' : 'no';
  }
  return String(value);
}

/** Splits a field name into words: `slowStartMs` becomes `slow start (ms)`. */
function toWords(field: string): string {
  const words = field.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
  return words.replace(/ ms$/, ' (ms)');
}

/** Returns the kinds of a service by name. */
function kindsByName(service: ServicePreset): ReadonlyMap<string, KindPreset> {
  return new Map(service.kinds.map(kind => [kind.name, kind]));
}
