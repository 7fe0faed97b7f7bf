/**
 * Settings of the target stand-in.
 *
 * @packageDocumentation
 */
import {z} from 'zod';

const kindSchema = z.object({
  method: z.string(),
  pathPrefix: z.string(),
  /** Mean service time in milliseconds. */
  meanMs: z.number().positive(),
  distribution: z.enum(['fixed', 'exponential']).default('exponential'),
});

const targetSchema = z.object({
  id: z.string(),
  service: z.string(),
  host: z.string().default('127.0.0.1'),
  port: z.number().int(),
  slots: z.number().int().positive(),
  /** Whether a request without a free slot is queued or refused. */
  onFull: z.enum(['queue', 'refuse']).default('queue'),
  queueLimit: z.number().int().default(100),
});

/** Schema of the settings of a target process. */
export const targetSettingsSchema = z.object({
  seed: z.number().int(),
  host: z.string().default('127.0.0.1'),
  controlPort: z.number().int(),
  kinds: z.array(kindSchema),
  targets: z.array(targetSchema),
  /** Factor on service times after a start; falls linearly to 1. */
  coldFactor: z.number().min(1).default(1),
  /** Time over which `coldFactor` falls to 1, in milliseconds. */
  warmUpMs: z.number().default(0),
  /** Maximum age of the load in `/load` and in the response header. */
  reportLagMs: z.number().default(0),
  /** Slowdowns caused by noisy neighbours; none if absent. */
  neighbours: z
    .object({
      meanGapMs: z.number().positive(),
      durationMs: z.number().positive(),
      factor: z.number().min(1),
    })
    .optional(),
  /**
   * Time after which a crashed target listens again; 0 disables the restart.
   */
  restartAfterMs: z.number().default(1_000),
  /** File to which the ledger appends each event as a line of JSON. */
  ledgerPath: z.string().optional(),
});

/** Settings of a target process. */
export type TargetSettings = z.output<typeof targetSettingsSchema>;

/** Settings of one target. */
export type TargetSpec = TargetSettings['targets'][number];

/** Service time distribution of one kind of request. */
export type KindSpec = TargetSettings['kinds'][number];
