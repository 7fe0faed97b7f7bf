/**
 * Building blocks of zod schemas whose messages name the expected value, and
 * validation of a text against a schema.
 *
 * @packageDocumentation
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {InputIssue} from './input_issue.js';
import {parseJsonc, type JsoncText, type ValuePath} from './jsonc_text.js';

/** Maximum size of a text, equal to the platform's limit of one megabyte. */
export const MAX_TEXT_BYTES = 1024 * 1024;

/**
 * Maximum number of issues reported individually; further ones are counted.
 * Locating the line of an issue takes time linear in the text, and an invalid
 * document must not stall a daemon.
 */
const MAX_ISSUES = 200;

/** An error found by a {@link Rule}. */
export interface RuleIssue {
  readonly path: ValuePath;
  readonly expected: string;
}

/** Checks a rule that spans several values; must accept any input. */
export type Rule = (value: unknown) => readonly RuleIssue[];

/**
 * Creates a schema of an object without unknown keys.
 *
 * @param shape - schema of each key
 * @returns the schema
 *
 * @example
 * ```ts
 * closedObject({host: ipAddress(), port: wholeNumber(1, 65_535)});
 * ```
 */
export function closedObject<T extends z.ZodRawShape>(
  shape: T,
): z.ZodObject<T, z.core.$strict> {
  const keys = Object.keys(shape).join(', ');
  return z.strictObject(shape, {
    error: issue =>
      issue.code === 'unrecognized_keys'
        ? `one of the keys ${keys}`
        : 'an object',
  });
}

/**
 * Creates a schema of a whole number in a range.
 *
 * @param min - minimum value, inclusive
 * @param max - maximum value, inclusive
 * @param unit - unit named in the message, such as `ms`; empty by default
 * @returns the schema
 *
 * @example
 * ```ts
 * wholeNumber(1, 600_000, 'ms');
 * ```
 */
export function wholeNumber(min: number, max: number, unit = ''): z.ZodInt {
  const suffix = unit === '' ? '' : ` (${unit})`;
  const error = `a whole number from ${min} to ${max}${suffix}`;
  return z.int({error}).min(min, {error}).max(max, {error});
}

/**
 * Creates a schema of a number in a range.
 *
 * @param min - minimum value, inclusive
 * @param max - maximum value, inclusive
 * @returns the schema
 *
 * @example
 * ```ts
 * numberIn(0, 1);
 * ```
 */
export function numberIn(min: number, max: number): z.ZodNumber {
  const error = `a number from ${min} to ${max}`;
  return z.number({error}).min(min, {error}).max(max, {error});
}

/**
 * Creates a schema of a string that matches a pattern.
 *
 * @param pattern - anchored pattern of the whole string
 * @param error - description of the expected string
 * @returns the schema
 *
 * @example
 * ```ts
 * stringMatching(/^\/.*$/, 'a path that starts with a slash');
 * ```
 */
export function stringMatching(pattern: RegExp, error: string): z.ZodString {
  return z.string({error}).regex(pattern, {error});
}

/**
 * Creates a schema of a boolean.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * closedObject({urgent: flag().default(false)});
 * ```
 */
export function flag(): z.ZodBoolean {
  return z.boolean({error: 'true or false'});
}

/**
 * Creates a schema of an enumeration of strings.
 *
 * @param words - allowed strings
 * @returns the schema
 *
 * @example
 * ```ts
 * oneOf(['entry', 'target']);
 * ```
 */
export function oneOf<const T extends readonly string[]>(
  words: T,
): z.ZodEnum<{[K in T[number]]: K}> {
  return z.enum(words, {error: `one of ${words.join(', ')}`});
}

/**
 * Creates a schema of an IP address; the system resolves no host names.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * ipAddress().safeParse('10.0.0.1').success; // true
 * ```
 */
export function ipAddress(): z.ZodUnion<[z.ZodIPv4, z.ZodIPv6]> {
  return z.union([z.ipv4(), z.ipv6()], {error: 'an IP address'});
}

/**
 * Creates a schema of the name of a preset, service or kind: lower case, as in
 * a host name.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * labelName().safeParse('growers-desk').success; // true
 * ```
 */
export function labelName(): z.ZodString {
  return stringMatching(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'a name of 1 to 63 lower-case letters, digits and hyphens',
  );
}

/**
 * Creates a schema of the identifier of a VM or failure domain. Slashes are
 * reserved: owner ids of gossip facts have the form `vmId/bootId`.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * identifier().safeParse('e-01').success; // true
 * ```
 */
export function identifier(): z.ZodString {
  return stringMatching(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'an identifier of 1 to 63 letters, digits, dots, hyphens and underscores',
  );
}

/**
 * Parses a text and validates it against a schema and rules. Reports all errors
 * at once; rules run even if the schema found errors.
 *
 * @param text - text in JSON with comments
 * @param schema - schema of the whole text
 * @param rules - rules that span several values
 * @returns the validated value, or all issues ordered by line
 *
 * @example
 * ```ts
 * const checked = checkText('{"a": 1}', closedObject({a: wholeNumber(0, 9)}));
 * ```
 */
export function checkText<T>(
  text: string,
  schema: z.ZodType<T>,
  rules: readonly Rule[] = [],
): Result<T, readonly InputIssue[]> {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAX_TEXT_BYTES) {
    return err([
      {
        path: '',
        line: undefined,
        value: `${sizeBytes} bytes`,
        expected: `at most ${MAX_TEXT_BYTES} bytes`,
      },
    ]);
  }
  return parseJsonc(text).andThen(parsed => checkParsed(parsed, schema, rules));
}

/** Validates a parsed text against a schema and rules. */
function checkParsed<T>(
  parsed: JsoncText,
  schema: z.ZodType<T>,
  rules: readonly Rule[],
): Result<T, readonly InputIssue[]> {
  const checked = schema.safeParse(parsed.value);
  const found: RuleIssue[] = rules.flatMap(rule => [...rule(parsed.value)]);
  if (checked.success && found.length === 0) {
    return ok(checked.data);
  }
  if (!checked.success) {
    found.push(...checked.error.issues.flatMap(toRuleIssues));
  }
  const issues = found
    .slice(0, MAX_ISSUES)
    .map(issue => parsed.issueAt(issue.path, issue.expected));
  issues.sort((a, b) => (a.line ?? 0) - (b.line ?? 0));
  if (found.length > MAX_ISSUES) {
    issues.push({
      path: '',
      line: undefined,
      value: `${found.length - MAX_ISSUES} more errors`,
      expected: 'none',
    });
  }
  return err(issues);
}

/** Converts an issue of zod to rule issues, one for each unknown key. */
function toRuleIssues(issue: z.core.$ZodIssue): readonly RuleIssue[] {
  const path = issue.path.filter(part => typeof part !== 'symbol');
  switch (issue.code) {
    case 'unrecognized_keys':
      return issue.keys.map(key => ({
        path: [...path, key],
        expected: issue.message,
      }));
    case 'invalid_key':
      return [
        {path, expected: `as key ${issue.issues[0]?.message ?? 'a name'}`},
      ];
    default:
      return [{path, expected: issue.message}];
  }
}
