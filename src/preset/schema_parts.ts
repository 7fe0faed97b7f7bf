/**
 * Parts of zod schemas whose messages state what was expected, and the check
 * of a text against a schema.
 *
 * @packageDocumentation
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {InputIssue} from './input_issue.js';
import {parseJsonc, type JsoncText, type ValuePath} from './jsonc_text.js';

/** Largest text that is read: the platform's limit of one megabyte. */
export const MAX_TEXT_BYTES = 1024 * 1024;

/**
 * Issues reported one by one; more are only counted. Finding the line of an
 * issue costs time in proportion to the text, and a daemon must not stall on a
 * bad document.
 */
const MAX_ISSUES = 200;

/** An error found by a rule that spans several values. */
export interface RuleIssue {
  readonly path: ValuePath;
  readonly expected: string;
}

/** A rule that spans several values; it must accept any input. */
export type Rule = (value: unknown) => readonly RuleIssue[];

/**
 * Object without unknown keys.
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
 * Whole number in a range.
 *
 * @param min - least value, included
 * @param max - greatest value, included
 * @param unit - unit for the message, such as `ms`; empty by default
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
 * Number in a range.
 *
 * @param min - least value, included
 * @param max - greatest value, included
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
 * Text that matches a pattern.
 *
 * @param pattern - pattern for the whole text
 * @param error - what is expected
 * @returns the schema
 *
 * @example
 * ```ts
 * textLike(/^\/.*$/, 'a path that starts with a slash');
 * ```
 */
export function textLike(pattern: RegExp, error: string): z.ZodString {
  return z.string({error}).regex(pattern, {error});
}

/**
 * True or false.
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
 * One of several words.
 *
 * @param words - allowed words
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
 * IP address; names are not resolved anywhere in the system.
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
 * Name of a preset, service or kind: lower case, as in a host name.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * labelName().safeParse('growers-desk').success; // true
 * ```
 */
export function labelName(): z.ZodString {
  return textLike(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'a name of 1 to 63 lower-case letters, digits and hyphens',
  );
}

/**
 * Identifier of a VM or failure domain. A slash is reserved: owners of gossip
 * facts are written `vmId/bootId`.
 *
 * @returns the schema
 *
 * @example
 * ```ts
 * identifier().safeParse('e-01').success; // true
 * ```
 */
export function identifier(): z.ZodString {
  return textLike(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'an identifier of 1 to 63 letters, digits, dots, hyphens and underscores',
  );
}

/**
 * Parses a text and checks it against a schema and rules. All errors are
 * reported at once; rules run even if the schema found errors.
 *
 * @param text - text in JSON with comments
 * @param schema - schema of the whole text
 * @param rules - rules that span several values
 * @returns the checked value, or all issues ordered by line
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

/** Checks a parsed text against schema and rules. */
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

/** Converts an issue of zod; unknown keys become one issue each. */
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
