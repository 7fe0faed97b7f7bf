/**
 * Settings files of the stand-ins.
 *
 * @packageDocumentation
 */
import {readFile} from 'node:fs/promises';
import type {z} from 'zod';

/**
 * Reads the JSON file that the first argument of the program names.
 *
 * @param schema - shape of the settings
 * @param defaultFile - file without an argument
 * @returns the settings
 * @throws an error of the file system, of JSON or of the schema
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
