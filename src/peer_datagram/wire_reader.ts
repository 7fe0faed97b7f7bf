/**
 * Validating reader for decoded messages of peers.
 *
 * @packageDocumentation
 */

/** Error thrown for a message with an unexpected structure. */
export class WireError extends Error {
  override readonly name = 'WireError';
}

/**
 * Reads the fields of a decoded array in order. Each method but `any` throws
 * {@link WireError} if the next field is missing or has another type.
 */
export class WireReader {
  private position = 0;

  /**
   * @param fields - decoded value
   * @throws WireError if it is not an array
   */
  constructor(fields: unknown) {
    if (!Array.isArray(fields)) {
      throw new WireError('expected an array of fields');
    }
    this.fields = fields;
  }

  private readonly fields: readonly unknown[];

  /** Reads a string. */
  string(): string {
    const value = this.next();
    if (typeof value !== 'string') {
      throw this.unexpected('a string');
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

  /** Reads a number of at least 0, such as an age or a count. */
  count(): number {
    const value = this.number();
    if (value < 0) {
      throw this.unexpected('a number of at least 0');
    }
    return value;
  }

  /** Reads a count that senders of an earlier release leave out. */
  optionalCount(absentValue: number): number {
    return this.hasNext() ? this.count() : absentValue;
  }

  /** Reads a number that senders may leave out. */
  optionalNumber(): number | undefined {
    return this.hasNext() ? this.number() : undefined;
  }

  /** Reads a string that senders of an earlier release leave out. */
  optionalString(absentValue: string): string {
    return this.hasNext() ? this.string() : absentValue;
  }

  /** Reads nested arrays that senders of an earlier release leave out. */
  optionalArray<T>(read: (reader: WireReader) => T): readonly T[] {
    return this.hasNext() ? this.array(read) : [];
  }

  /** Reads strings that senders of an earlier release leave out. */
  optionalStrings(): readonly string[] {
    return this.hasNext() ? this.nested().rest() : [];
  }

  /** Reads a boolean. */
  boolean(): boolean {
    const value = this.next();
    if (typeof value !== 'boolean') {
      throw this.unexpected('a boolean');
    }
    return value;
  }

  /** Reads a boolean that senders of an earlier release leave out. */
  optionalBoolean(absentValue: boolean): boolean {
    return this.hasNext() ? this.boolean() : absentValue;
  }

  /** Returns a reader for a nested array. */
  nested(): WireReader {
    return new WireReader(this.next());
  }

  /** Reads an array of nested arrays. */
  array<T>(read: (reader: WireReader) => T): readonly T[] {
    const value = this.next();
    if (!Array.isArray(value)) {
      throw this.unexpected('an array');
    }
    return value.map(item => read(new WireReader(item)));
  }

  /** Reads a value of any type without a check. */
  any(): unknown {
    return this.next();
  }

  private hasNext(): boolean {
    return this.fields[this.position] !== undefined;
  }

  /** Reads an array of strings. */
  strings(): readonly string[] {
    return this.nested().rest();
  }

  /** Reads all remaining fields as strings. */
  private rest(): readonly string[] {
    const strings: string[] = [];
    while (this.position < this.fields.length) {
      strings.push(this.string());
    }
    return strings;
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
