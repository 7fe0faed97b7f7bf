/**
 * Routes that operators publish: which requests go to which service, and what
 * may be done with them.
 *
 * @packageDocumentation
 */

/** Service with its part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Part of the requests, relative to the other services of the route. */
  readonly weight: number;
}

/** One route. */
export interface RouteRule {
  readonly name: string;
  /** Host in lower case, without port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True if a request may run more than once. */
  readonly idempotent: boolean;
  /** Rank among the routes; 0 is the highest. */
  readonly rank: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Greatest number of targets that one request is sent to. */
  readonly maxAttempts: number;
  /** At least one; requests are divided by weight. */
  readonly services: readonly WeightedService[];
}

/** What operators state about the targets of a service. */
export interface ServiceRule {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnectionsPerTarget: number;
}

/** Bounds on what callers may send. */
export interface CallerBounds {
  readonly maxHeadBytes: number;
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routes, as published. */
export interface RouteConfig {
  /** Grows with each version, in uneven steps. */
  readonly version: number;
  readonly rules: readonly RouteRule[];
  readonly services: readonly ServiceRule[];
  readonly bounds: CallerBounds;
}
