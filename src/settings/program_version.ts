/**
 * Version of the programs.
 *
 * @packageDocumentation
 */
import {createRequire} from 'node:module';

/**
 * Package manifest; the path is relative to the compiled module in `dist/src`.
 */
const manifest = createRequire(import.meta.url)('../../../package.json') as {
  readonly version: string;
};

/** Version of `sycamorepitchd` and `sycamorepitch`, such as `0.1.0`. */
export const PROGRAM_VERSION: string = manifest.version;
