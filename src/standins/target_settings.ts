/**
 * Settings of the target stand-in.
 *
 * @packageDocumentation
 */
import {z} from 'zod';

const kind = z.object({
  method: z.string(),
  pathPrefix: z.string(),
  /** Mean service time in milliseconds. */
  meanMs: z.number().positive(),
  distribution: z.enum(['fixed', 'exponential']).default('exponential'),
});

const target = z.object({
  id: z.string(),
  service: z.string(),
  host: z.string().default('127.0.0.1'),
  port: z.number().int(),
  slots: z.number().int().positive(),
  /** What happens to a request that finds no free slot. */
  onFull: z.enum(['queue', 'refuse']).default('queue'),
  queueLimit: z.number().int().default(100),
});

/** Schema of the JSON file. */
export const targetSettingsSchema = z.object({
  seed: z.number().int(),
  host: z.string().default('127.0.0.1'),
  controlPort: z.number().int(),
  kinds: z.array(kind),
  targets: z.array(target),
  /** Service times are multiplied by this factor at start ... */
  coldFactor: z.number().min(1).default(1),
  /** ... which falls to 1 over this time. */
  warmUpMs: z.number().default(0),
  /** Age of the load that `/load` and the response header state. */
  reportLagMs: z.number().default(0),
  /** Slowdowns by neighbours: mean gap, duration and factor. */
  neighbours: z
    .object({
      meanGapMs: z.number().positive(),
      durationMs: z.number().positive(),
      factor: z.number().min(1),
    })
    .optional(),
  /** Time after which a crashed target listens again; 0 for never. */
  restartAfterMs: z.number().default(1_000),
  /** File to which the ledger appends each event as a line of JSON. */
  ledgerPath: z.string().optional(),
});

/** Settings of a target process. */
export type TargetSettings = z.output<typeof targetSettingsSchema>;

/** Settings of one target. */
export type TargetSpec = TargetSettings['targets'][number];

/** Service time of one kind of request. */
export type KindSpec = TargetSettings['kinds'][number];
