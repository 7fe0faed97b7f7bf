/**
 * Settings of the open-loop caller.
 *
 * @packageDocumentation
 */
import {z} from 'zod';

const kindSchema = z.object({
  name: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  /** Weight of the kind among all requests. */
  share: z.number().positive(),
  idempotent: z.boolean(),
  timeoutMs: z.number().positive(),
  bodyBytes: z.number().int().default(0),
  /** Worth of one answered request. */
  worth: z.number().default(1),
  /** Additional headers of each request. */
  headers: z.record(z.string(), z.string()).default({}),
});

/** Schema of the caller's settings. */
export const callerSettingsSchema = z.object({
  seed: z.number().int(),
  /** Caller ports of the entry VMs. */
  entries: z.array(z.object({host: z.string(), port: z.number().int()})).min(1),
  durationMs: z.number().positive(),
  /**
   * Load curve: request rates at offsets from the start, interpolated linearly.
   */
  curve: z
    .array(z.object({atMs: z.number(), requestsPerSecond: z.number()}))
    .min(1),
  kinds: z.array(kindSchema).min(1),
  /** Maximum number of copies sent of one request, including the first. */
  maxSendings: z.number().int().min(1).default(4),
  /** Control ports of target processes whose ledgers are checked at the end. */
  controlPorts: z.array(z.number().int()).default([]),
  /**
   * Share of the non-idempotent requests of which two copies are sent at once,
   * through different entry VMs.
   */
  twinShare: z.number().min(0).max(1).default(0),
  /**
   * Header `x-attempt` of the second of these copies. A caller that follows the
   * protocol sends 2, because the result of the other copy is unknown.
   */
  twinAttempt: z.number().int().min(1).default(2),
  /**
   * Operator ports of the entries, in the same order. As behind a load
   * balancer, entries whose `/readyz` does not return 200 get no requests. If
   * empty, readiness is not checked.
   */
  readyPorts: z.array(z.number().int()).default([]),
  /** File to which each sent copy is written as a line of JSON. */
  tracePath: z.string().optional(),
  /** File to which the results are written as JSON. */
  jsonPath: z.string().optional(),
  /** File to which the results are written as text. */
  summaryPath: z.string().optional(),
});

/** Settings of the open-loop caller. */
export type CallerSettings = z.output<typeof callerSettingsSchema>;

/** Settings of one request kind. */
export type CallerKind = CallerSettings['kinds'][number];
