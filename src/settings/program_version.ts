/**
 * Version of the programs.
 *
 * @packageDocumentation
 */
import {createRequire} from 'node:module';

/** The manifest, seen from the compiled module below `dist/src`. */
const manifest = createRequire(import.meta.url)('../../../package.json') as {
  readonly version: string;
};

/** Version of `sycamorepitchd` and `sycamorepitch`, such as `0.1.0`. */
export const PROGRAM_VERSION: string = manifest.version;
