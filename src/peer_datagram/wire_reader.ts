/**
 * Checked access to decoded messages of peers.
 *
 * @packageDocumentation
 */

/** A message that does not have the expected form. */
export class WireError extends Error {
  override readonly name = 'WireError';
}

/** Reads the fields of a decoded array in order. */
export class WireReader {
  private position = 0;

  /**
   * @param fields - decoded value, expected to be an array
   * @throws WireError if it is none
   */
  constructor(fields: unknown) {
    if (!Array.isArray(fields)) {
      throw new WireError('expected a list of fields');
    }
    this.fields = fields;
  }

  private readonly fields: readonly unknown[];

  /** Reads a text. */
  text(): string {
    const value = this.next();
    if (typeof value !== 'string') {
      throw this.unexpected('a text');
    }
    return value;
  }

  /** Reads a finite number. */
  number(): number {
    const value = this.next();
    if (typeof value !== 'number' || !Number.isFinite(value)) {
      throw this.unexpected('a number');
    }
    return value;
  }

  /** Reads a truth value. */
  flag(): boolean {
    const value = this.next();
    if (typeof value !== 'boolean') {
      throw this.unexpected('true or false');
    }
    return value;
  }

  /** Reads a nested array. */
  nested(): WireReader {
    return new WireReader(this.next());
  }

  /** Reads an array of nested arrays. */
  list<T>(read: (reader: WireReader) => T): readonly T[] {
    const value = this.next();
    if (!Array.isArray(value)) {
      throw this.unexpected('a list');
    }
    return value.map(item => read(new WireReader(item)));
  }

  /** Reads a value of any form. */
  any(): unknown {
    return this.next();
  }

  private next(): unknown {
    const value = this.fields[this.position];
    this.position += 1;
    return value;
  }

  private unexpected(expected: string): WireError {
    return new WireError(`field ${this.position}: expected ${expected}`);
  }
}
