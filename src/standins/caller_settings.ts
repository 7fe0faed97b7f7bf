/**
 * Settings of the open-loop caller.
 *
 * @packageDocumentation
 */
import {z} from 'zod';

const kind = z.object({
  name: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  /** Share of the requests, relative to the other kinds. */
  share: z.number().positive(),
  idempotent: z.boolean(),
  timeoutMs: z.number().positive(),
  bodyBytes: z.number().int().default(0),
  /** Worth of one answer, for the worth-weighted service. */
  worth: z.number().default(1),
  /** Further headers of each request. */
  headers: z.record(z.string(), z.string()).default({}),
});

/** Schema of the JSON file. */
export const callerSettingsSchema = z.object({
  seed: z.number().int(),
  /** Caller ports of the entry VMs. */
  entries: z.array(z.object({host: z.string(), port: z.number().int()})).min(1),
  durationMs: z.number().positive(),
  /** Requests per second at instants; linear in between. */
  curve: z
    .array(z.object({atMs: z.number(), requestsPerSecond: z.number()}))
    .min(1),
  kinds: z.array(kind).min(1),
  /** Sendings of one request at most, the first included. */
  maxSendings: z.number().int().min(1).default(4),
  /** Ports of target processes whose ledgers are checked at the end. */
  controlPorts: z.array(z.number().int()).default([]),
  /**
   * Share of the non-idempotent requests whose first copy is sent through two
   * entry VMs at the same instant.
   */
  twinShare: z.number().min(0).max(1).default(0),
  /**
   * `x-attempt` of the second of these copies. A caller that keeps the rules
   * states 2, since another copy was sent whose result is open.
   */
  twinAttempt: z.number().int().min(1).default(2),
  /**
   * Operator ports of the entries, in the same order. An entry whose `/readyz`
   * does not answer 200 gets no request, as with a balancer. Empty: all get some.
   */
  readyPorts: z.array(z.number().int()).default([]),
  /** File to which each sending is written as a line of JSON. */
  tracePath: z.string().optional(),
  /** File for the results as JSON. */
  jsonPath: z.string().optional(),
  /** File for the results as text. */
  summaryPath: z.string().optional(),
});

/** Settings of the open-loop caller. */
export type CallerSettings = z.output<typeof callerSettingsSchema>;

/** One kind of requests. */
export type CallerKind = CallerSettings['kinds'][number];
