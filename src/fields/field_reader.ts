/**
 * Type-checked access to the fields of external JSON documents.
 *
 * @packageDocumentation
 */
import {isIPv4} from 'node:net';
import {err, ok, type Result} from 'neverthrow';

/** Error thrown for a document that does not have the documented form. */
export class FieldError extends Error {
  override readonly name = 'FieldError';
}

/** Longest duration that timers of Node.js can wait, in milliseconds. */
const MAX_DURATION_MS = 2 ** 31 - 1;

/** Addresses that name no particular host. */
const UNSPECIFIED_ADDRESS = /^0\./;

/** Milliseconds per unit of a duration. */
const UNIT_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1000],
]);

/**
 * Reads the fields of a JSON object. Each method that reads a field throws
 * {@link FieldError} if the field is missing or has another type.
 *
 * @example
 * ```ts
 * const reader = new FieldReader(JSON.parse(text), 'target');
 * const {host, port} = reader.address('address');
 * ```
 */
export class FieldReader {
  private readonly fields: Readonly<Record<string, unknown>>;

  /**
   * @param value - decoded JSON, expected to be an object
   * @param path - path of the object in its document, for error messages
   * @throws FieldError if the value is not an object
   */
  constructor(
    value: unknown,
    private readonly path: string,
  ) {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      throw new FieldError(`${path}: expected an object`);
    }
    this.fields = value as Readonly<Record<string, unknown>>;
  }

  /** Returns whether the field is present and not null. */
  has(name: string): boolean {
    return this.fields[name] !== undefined && this.fields[name] !== null;
  }

  /** Returns a string. */
  string(name: string): string {
    const value = this.fields[name];
    if (typeof value !== 'string') {
      throw this.unexpected(name, 'a string');
    }
    return value;
  }

  /** Returns a finite, non-negative number. */
  number(name: string): number {
    const value = this.fields[name];
    if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
      throw this.unexpected(name, 'a non-negative number');
    }
    return value;
  }

  /** Returns a non-negative integer up to a maximum. */
  integer(name: string, max = Number.MAX_SAFE_INTEGER): number {
    const value = this.number(name);
    if (!Number.isSafeInteger(value) || value > max) {
      throw this.unexpected(name, `a whole number of at most ${max}`);
    }
    return value;
  }

  /** Returns a boolean. */
  boolean(name: string): boolean {
    const value = this.fields[name];
    if (typeof value !== 'boolean') {
      throw this.unexpected(name, 'true or false');
    }
    return value;
  }

  /** Returns a duration such as `1500ms` or `2.5s`, in milliseconds. */
  durationMs(name: string): number {
    const [, digits, unit] =
      /^(\d+(?:\.\d+)?)(ms|s)$/.exec(this.string(name)) ?? [];
    const durationMs = Number(digits) * (UNIT_MS.get(unit ?? '') ?? NaN);
    if (!(durationMs <= MAX_DURATION_MS)) {
      throw this.unexpected(
        name,
        'a duration such as 1500ms, of 24 days at most',
      );
    }
    return durationMs;
  }

  /** Returns an address such as `10.1.0.35:8144`. */
  address(name: string): {readonly host: string; readonly port: number} {
    return parseAddress(this.string(name), `${this.path}.${name}`);
  }

  /** Returns a reader for a nested object. */
  object(name: string): FieldReader {
    return new FieldReader(this.fields[name], `${this.path}.${name}`);
  }

  /** Returns a reader for each object of an array. */
  objects(name: string): readonly FieldReader[] {
    return this.list(name).map(
      (item, index) => new FieldReader(item, `${this.path}.${name}[${index}]`),
    );
  }

  /** Returns an array of strings. */
  strings(name: string): readonly string[] {
    const items = this.list(name);
    if (!items.every(item => typeof item === 'string')) {
      throw this.unexpected(name, 'an array of strings');
    }
    return items as readonly string[];
  }

  /** Returns an array of numbers. */
  numbers(name: string): readonly number[] {
    const items = this.list(name);
    if (!items.every(item => typeof item === 'number')) {
      throw this.unexpected(name, 'an array of numbers');
    }
    return items as readonly number[];
  }

  /** Returns the error for a field with an unexpected value. */
  unexpected(name: string, expected: string): FieldError {
    return new FieldError(`${this.path}.${name}: expected ${expected}`);
  }

  private list(name: string): readonly unknown[] {
    const value = this.fields[name];
    if (!Array.isArray(value)) {
      throw this.unexpected(name, 'an array');
    }
    return value;
  }
}

/**
 * Parses an address.
 *
 * @param text - IPv4 address and port, separated by a colon
 * @param path - path in the document, for error messages
 * @returns host and port
 * @throws FieldError if the text is not an address
 */
export function parseAddress(
  text: string,
  path: string,
): {readonly host: string; readonly port: number} {
  const [, host = '', digits] = /^([\d.]{7,15}):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  const isHost = isIPv4(host) && !UNSPECIFIED_ADDRESS.test(host);
  if (!isHost || port < 1 || port > 65_535) {
    throw new FieldError(`${path}: expected an address such as 10.1.0.35:8144`);
  }
  return {host, port};
}

/**
 * Runs a decoder and returns its errors as a result. A parser throws RangeError
 * for a document that is nested too deeply.
 *
 * @param decode - decoder that throws {@link FieldError}, SyntaxError or
 *     RangeError
 * @returns the decoded value, or the error message
 */
export function tryDecode<T>(decode: () => T): Result<T, string> {
  try {
    return ok(decode());
  } catch (error) {
    const isExpected =
      error instanceof FieldError ||
      error instanceof SyntaxError ||
      error instanceof RangeError;
    if (!isExpected) {
      throw error;
    }
    return err(error.message);
  }
}
