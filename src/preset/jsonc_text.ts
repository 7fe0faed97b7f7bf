/**
 * Parser of JSON with comments that keeps positions. Stricter than the library:
 * it rejects duplicate keys, of which the last one would win silently, and deep
 * nesting, which would exhaust the stack of the recursive parser.
 *
 * @packageDocumentation
 */
import {
  createScanner,
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  SyntaxKind,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import type {InputIssue} from './input_issue.js';

/** Maximum nesting depth of objects and arrays; the documents need 8. */
const MAX_DEPTH = 32;

/** Maximum length of a value's excerpt in an error, in characters. */
const MAX_EXCERPT_LENGTH = 60;

/** Maximum syntax errors reported per text; later ones are consequences. */
const MAX_SYNTAX_ISSUES = 20;

/**
 * Maximum number of invalid keys reported per text. Locating a line takes time
 * linear in the text: without a bound, 100,000 duplicate keys took 44 s.
 */
const MAX_TEXT_ISSUES = 200;

/** Path of a value: keys and array indexes. */
export type ValuePath = readonly (string | number)[];

/** A parsed text with the positions of its values. */
export class JsoncText {
  /**
   * @param text - source text
   * @param root - syntax tree
   * @param value - plain value of the whole text
   * @internal
   */
  constructor(
    private readonly text: string,
    private readonly root: Node,
    readonly value: unknown,
  ) {}

  /**
   * Creates an issue for the value at a path.
   *
   * @param path - path of the value
   * @param expected - description of the expected value
   * @returns the issue with line and value
   */
  issueAt(path: ValuePath, expected: string): InputIssue {
    const node = findNodeAtLocation(this.root, [...path]);
    const nearest = node ?? this.nearestNode(path);
    return {
      path: formatPath(path),
      line: lineAt(this.text, nearest.offset),
      value: node === undefined ? 'missing' : excerpt(toValue(node)),
      expected,
    };
  }

  /** Finds the innermost existing node along a path. */
  private nearestNode(path: ValuePath): Node {
    for (let length = path.length - 1; length > 0; length--) {
      const node = findNodeAtLocation(this.root, path.slice(0, length));
      if (node !== undefined) {
        return node;
      }
    }
    return this.root;
  }
}

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param text - text to parse
 * @returns the parsed text, or all syntax errors
 *
 * @example
 * ```ts
 * const parsed = parseJsonc('{"revision": 1} // first');
 * ```
 */
export function parseJsonc(
  text: string,
): Result<JsoncText, readonly InputIssue[]> {
  const deepOffset = findDeepNesting(text);
  if (deepOffset !== undefined) {
    return err([
      {
        path: '',
        line: lineAt(text, deepOffset),
        value: `more than ${MAX_DEPTH} levels of nesting`,
        expected: `at most ${MAX_DEPTH} levels`,
      },
    ]);
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  if (root === undefined || errors.length > 0) {
    return err(syntaxIssues(text, errors));
  }
  const keyIssues = findBadKeys(text, root);
  if (keyIssues.length > 0) {
    return err(keyIssues);
  }
  return ok(new JsoncText(text, root, toValue(root)));
}

/**
 * Formats a path.
 *
 * @param path - keys and array indexes
 * @returns text such as `vms[3].host`
 *
 * @example
 * ```ts
 * formatPath(['vms', 3, 'host']); // 'vms[3].host'
 * ```
 */
export function formatPath(path: ValuePath): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') {
      text += `[${part}]`;
    } else if (/^[\w-]+$/.test(part)) {
      text += text === '' ? part : `.${part}`;
    } else {
      text += `[${JSON.stringify(part)}]`;
    }
  }
  return text;
}

/**
 * Finds a number at the top level of a text that may be malformed. Stops at
 * the number, which makes it cheap when the key comes first.
 *
 * @param text - text in JSON with comments
 * @param key - key of the outermost object
 * @returns the number; undefined if there is none
 *
 * @example
 * ```ts
 * findTopLevelNumber('{"revision": 7, ', 'revision'); // 7
 * ```
 */
export function findTopLevelNumber(
  text: string,
  key: string,
): number | undefined {
  const scanner = createScanner(text, true);
  const quotedKey = JSON.stringify(key);
  let depth = 0;
  for (;;) {
    switch (scanner.scan()) {
      case SyntaxKind.EOF:
        return undefined;
      case SyntaxKind.OpenBraceToken:
      case SyntaxKind.OpenBracketToken:
        depth++;
        break;
      case SyntaxKind.CloseBraceToken:
      case SyntaxKind.CloseBracketToken:
        depth--;
        break;
      case SyntaxKind.StringLiteral:
        if (
          depth === 1 &&
          text.startsWith(quotedKey, scanner.getTokenOffset()) &&
          scanner.scan() === SyntaxKind.ColonToken &&
          scanner.scan() === SyntaxKind.NumericLiteral
        ) {
          return Number(scanner.getTokenValue());
        }
        break;
      default:
        break;
    }
  }
}

/** Finds the offset at which the nesting exceeds the limit. */
function findDeepNesting(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (;;) {
    const token = scanner.scan();
    switch (token) {
      case SyntaxKind.EOF:
        return undefined;
      case SyntaxKind.OpenBraceToken:
      case SyntaxKind.OpenBracketToken:
        depth++;
        if (depth > MAX_DEPTH) {
          return scanner.getTokenOffset();
        }
        break;
      case SyntaxKind.CloseBraceToken:
      case SyntaxKind.CloseBracketToken:
        depth--;
        break;
      default:
        break;
    }
  }
}

/** Converts the library's syntax errors to issues. */
function syntaxIssues(
  text: string,
  errors: readonly ParseError[],
): readonly InputIssue[] {
  if (errors.length === 0) {
    return [
      {path: '', line: undefined, value: 'missing', expected: 'a JSON object'},
    ];
  }
  return errors.slice(0, MAX_SYNTAX_ISSUES).map(error => ({
    path: '',
    line: lineAt(text, error.offset),
    value:
      error.offset >= text.length
        ? 'the end of the text'
        : excerpt(text.slice(error.offset, error.offset + 20)),
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`,
  }));
}

/** Finds duplicate keys and `__proto__`, which plain objects cannot hold. */
function findBadKeys(text: string, root: Node): readonly InputIssue[] {
  const issues: InputIssue[] = [];
  const visit = (node: Node, path: ValuePath): void => {
    const seen = new Set<string>();
    for (const [index, child] of (node.children ?? []).entries()) {
      if (issues.length >= MAX_TEXT_ISSUES) {
        return;
      }
      if (node.type === 'array') {
        visit(child, [...path, index]);
        continue;
      }
      const [keyNode, valueNode] = child.children ?? [];
      const key = String(keyNode?.value);
      const keyPath = [...path, key];
      if (seen.has(key) || key === '__proto__') {
        issues.push({
          path: formatPath(keyPath),
          line: lineAt(text, child.offset),
          value: JSON.stringify(key),
          expected: seen.has(key) ? 'each key once' : 'another key',
        });
      }
      seen.add(key);
      if (valueNode !== undefined) {
        visit(valueNode, keyPath);
      }
    }
  };
  visit(root, []);
  return issues;
}

/** Converts a node to a plain value. */
function toValue(node: Node): unknown {
  const children = node.children ?? [];
  if (node.type === 'array') {
    return children.map(toValue);
  }
  if (node.type !== 'object') {
    return node.value as unknown;
  }
  const entries = children.flatMap(property => {
    const [key, value] = property.children ?? [];
    return key === undefined || value === undefined
      ? []
      : [[String(key.value), toValue(value)] as const];
  });
  return Object.fromEntries(entries);
}

/** Formats a value as truncated JSON text. */
function excerpt(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length <= MAX_EXCERPT_LENGTH
    ? text
    : `${text.slice(0, MAX_EXCERPT_LENGTH)}...`;
}

/** Returns the line of an offset, counted from 1. */
function lineAt(text: string, offset: number): number {
  let line = 1;
  for (let i = text.indexOf('\n'); i !== -1 && i < offset;) {
    line++;
    i = text.indexOf('\n', i + 1);
  }
  return line;
}
