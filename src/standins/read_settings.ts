/**
 * Reader of the stand-ins' settings files.
 *
 * @packageDocumentation
 */
import {readFile} from 'node:fs/promises';
import type {z} from 'zod';

/**
 * Reads and validates the JSON file named by the program's first argument.
 *
 * @param schema - schema of the settings
 * @param defaultFile - file to read if the program has no argument
 * @returns the settings
 * @throws an error if the file cannot be read, is not JSON or does not match
 *     the schema
 *
 * @example
 * ```ts
 * const settings = await readSettings(targetSettingsSchema, 'targets.json');
 * ```
 */
export async function readSettings<S extends z.ZodType>(
  schema: S,
  defaultFile: string,
): Promise<z.output<S>> {
  const text = await readFile(process.argv[2] ?? defaultFile, 'utf8');
  return schema.parse(JSON.parse(text));
}
