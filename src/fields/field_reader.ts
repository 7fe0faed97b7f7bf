/**
 * Checked access to the fields of JSON documents from outside.
 *
 * @packageDocumentation
 */
import {err, ok, type Result} from 'neverthrow';

/** A document that does not have the documented form. */
export class FieldError extends Error {
  override readonly name = 'FieldError';
}

/** Units of times, in milliseconds. */
const UNIT_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1000],
]);

/** Reads the fields of a JSON object. */
export class FieldReader {
  private readonly fields: Readonly<Record<string, unknown>>;

  /**
   * @param value - decoded JSON, expected to be an object
   * @param path - place of the object in its document, for errors
   * @throws FieldError if the value is no object
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

  /** True if the field is there and not null. */
  has(name: string): boolean {
    return this.fields[name] !== undefined && this.fields[name] !== null;
  }

  /** Reads a text. */
  text(name: string): string {
    const value = this.fields[name];
    if (typeof value !== 'string') {
      throw this.unexpected(name, 'a text');
    }
    return value;
  }

  /** Reads a finite number that is not negative. */
  number(name: string): number {
    const value = this.fields[name];
    if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
      throw this.unexpected(name, 'a number from 0 on');
    }
    return value;
  }

  /** Reads a whole number that is not negative. */
  integer(name: string): number {
    const value = this.number(name);
    if (!Number.isSafeInteger(value)) {
      throw this.unexpected(name, 'a whole number');
    }
    return value;
  }

  /** Reads a truth value. */
  flag(name: string): boolean {
    const value = this.fields[name];
    if (typeof value !== 'boolean') {
      throw this.unexpected(name, 'true or false');
    }
    return value;
  }

  /** Reads a time such as `1500ms` or `2.5s`, in milliseconds. */
  timeMs(name: string): number {
    const [, digits, unit] =
      /^(\d+(?:\.\d+)?)(ms|s)$/.exec(this.text(name)) ?? [];
    const unitMs = UNIT_MS.get(unit ?? '');
    if (digits === undefined || unitMs === undefined) {
      throw this.unexpected(name, 'a time such as 1500ms');
    }
    return Number(digits) * unitMs;
  }

  /** Reads an address such as `10.1.0.35:8144`. */
  address(name: string): {readonly host: string; readonly port: number} {
    return parseAddress(this.text(name), `${this.path}.${name}`);
  }

  /** Reads an object. */
  object(name: string): FieldReader {
    return new FieldReader(this.fields[name], `${this.path}.${name}`);
  }

  /** Reads a list of objects. */
  objects(name: string): readonly FieldReader[] {
    return this.list(name).map(
      (item, index) => new FieldReader(item, `${this.path}.${name}[${index}]`),
    );
  }

  /** Reads a list of texts. */
  texts(name: string): readonly string[] {
    const items = this.list(name);
    if (!items.every(item => typeof item === 'string')) {
      throw this.unexpected(name, 'a list of texts');
    }
    return items as readonly string[];
  }

  /** Reads a list of numbers. */
  numbers(name: string): readonly number[] {
    const items = this.list(name);
    if (!items.every(item => typeof item === 'number')) {
      throw this.unexpected(name, 'a list of numbers');
    }
    return items as readonly number[];
  }

  /** Builds the error for a field of another form. */
  unexpected(name: string, expected: string): FieldError {
    return new FieldError(`${this.path}.${name}: expected ${expected}`);
  }

  private list(name: string): readonly unknown[] {
    const value = this.fields[name];
    if (!Array.isArray(value)) {
      throw this.unexpected(name, 'a list');
    }
    return value;
  }
}

/**
 * Reads an address.
 *
 * @param text - IP address and port with a colon between
 * @param path - place in the document, for errors
 * @returns host and port
 * @throws FieldError if the text is no address
 */
export function parseAddress(
  text: string,
  path: string,
): {readonly host: string; readonly port: number} {
  const [, host, digits] =
    /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  if (host === undefined || port < 1 || port > 65_535) {
    throw new FieldError(`${path}: expected an address such as 10.1.0.35:8144`);
  }
  return {host, port};
}

/**
 * Turns the errors of a decoder into a result.
 *
 * @param decode - decoder that throws {@link FieldError} or SyntaxError
 * @returns what it returns, or the message of its error
 */
export function decodeWith<T>(decode: () => T): Result<T, string> {
  try {
    return ok(decode());
  } catch (error) {
    if (error instanceof FieldError || error instanceof SyntaxError) {
      return err(error.message);
    }
    throw error;
  }
}
