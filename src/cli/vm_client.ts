/**
 * HTTP client for the operator ports of VMs.
 *
 * @packageDocumentation
 */
import got from 'got';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {VmStatus, VmTimeline} from '../preset/index.js';
import type {VmFailure} from './tool_error.js';

/** Time limit for the response of a VM. */
const RESPONSE_TIMEOUT_MS = 3_000;

/** Largest absolute ECMAScript time value; later dates cannot be formatted. */
const MAX_DATE_MS = 8.64e15;

const versionSchema = z.object({
  revision: z.number(),
  platformVersion: z.number(),
  platformEra: z.number().default(0),
  sha256: z.string(),
});

const documentSchema = z.object({
  revision: z.number().nullable(),
  platformVersion: z.number().nullable(),
  platformEra: z.number().nullable().default(null),
  sha256: z.string().nullable(),
  adoptedAgeMs: z.number().nullable(),
  refused: z.array(versionSchema.extend({reason: z.string()})),
  superseded: z.array(versionSchema),
});

/** Unknown keys are ignored, since VMs of a later version may send more. */
const statusSchema = z.object({
  // VMs of the first version do not report it.
  version: z.string().default('unknown'),
  vmId: z.string(),
  bootId: z.string(),
  failureDomain: z.string(),
  state: z.string(),
  ready: z.boolean(),
  documents: z.object({
    config: documentSchema.extend({inForce: z.string().nullable()}),
    vms: documentSchema,
  }),
  members: z.array(
    z.object({
      vmId: z.string(),
      bootId: z.string(),
      state: z.string(),
      lastHeardAgeMs: z.number(),
    }),
  ),
  engine: z.record(z.string(), z.unknown()),
});

const timelineSchema = z.object({
  vmId: z.string(),
  events: z.array(
    z.object({
      time: z.object({
        wallMs: z.number().min(-MAX_DATE_MS).max(MAX_DATE_MS),
        counter: z.number(),
      }),
      vmId: z.string(),
      part: z.enum([
        'attempt',
        'request',
        'target',
        'config',
        'membership',
        'recovery',
        'process',
      ]),
      name: z.string(),
      details: z.record(
        z.string(),
        z.union([z.string(), z.number(), z.boolean()]),
      ),
    }),
  ),
});

/**
 * Responses and failures of several VMs, each in the order of the addresses.
 */
export interface VmResponses<T> {
  readonly responses: readonly {
    readonly address: string;
    readonly value: T;
  }[];
  readonly failures: readonly VmFailure[];
}

/**
 * Fetches the status of VMs concurrently.
 *
 * @param addresses - operator ports as `host:port`
 * @returns responses and failures; never throws
 *
 * @example
 * ```ts
 * const {responses} = await fetchStatuses(['10.0.0.1:9090']);
 * ```
 */
export function fetchStatuses(
  addresses: readonly string[],
): Promise<VmResponses<VmStatus>> {
  return fetchFromAll(addresses, 'status', statusSchema);
}

/**
 * Fetches the timelines of VMs concurrently.
 *
 * @param addresses - operator ports as `host:port`
 * @returns responses and failures; never throws
 *
 * @example
 * ```ts
 * const {responses} = await fetchTimelines(['10.0.0.1:9090']);
 * ```
 */
export function fetchTimelines(
  addresses: readonly string[],
): Promise<VmResponses<VmTimeline>> {
  return fetchFromAll(addresses, 'timeline', timelineSchema);
}

/** Fetches a path from all VMs concurrently. */
async function fetchFromAll<T>(
  addresses: readonly string[],
  path: string,
  schema: z.ZodType<T>,
): Promise<VmResponses<T>> {
  const results = await Promise.all(
    addresses.map(address => fetchFromVm(address, path, schema)),
  );
  return {
    responses: results.flatMap((result, index) =>
      result.isOk()
        ? [{address: addresses[index] ?? '', value: result.value}]
        : [],
    ),
    failures: results.flatMap(result => (result.isErr() ? [result.error] : [])),
  };
}

/** Fetches a path from one VM and validates the response. */
async function fetchFromVm<T>(
  address: string,
  path: string,
  schema: z.ZodType<T>,
): Promise<Result<T, VmFailure>> {
  try {
    const body: unknown = await got(`http://${address}/${path}`, {
      retry: {limit: 0},
      followRedirect: false,
      timeout: {request: RESPONSE_TIMEOUT_MS},
    }).json();
    const parsed = schema.safeParse(body);
    if (parsed.success) {
      return ok(parsed.data);
    }
    const reason = `unexpected answer: ${parsed.error.issues[0]?.path.join('.')}`;
    return err({address, reason});
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return err({address, reason: code ?? message});
  }
}
