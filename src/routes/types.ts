/**
 * Routes that operators publish: the services of requests, and the rules for
 * their attempts.
 *
 * @packageDocumentation
 */

/** Service with its weight in a route. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the other services of the route. */
  readonly weight: number;
}

/** Route by host and path prefix, with the rules for its requests. */
export interface RouteRule {
  readonly name: string;
  /** Host in lower case, without port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True if requests may safely run more than once. */
  readonly idempotent: boolean;
  /** Priority among the routes; 0 is the highest. */
  readonly rank: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum time from arrival to the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum number of targets that one request is sent to. */
  readonly maxAttempts: number;
  /** At least one service; requests are divided by weight. */
  readonly services: readonly WeightedService[];
}

/** Settings of a service and its targets. */
export interface ServiceRule {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnectionsPerTarget: number;
  /**
   * Requests per second that a cold target takes from all VMs together;
   * undefined for no limit.
   */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerBounds {
  readonly maxHeadBytes: number;
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Published version of the routes. */
export interface RouteConfig {
  /** Increases with each version, not necessarily by 1. */
  readonly version: number;
  readonly rules: readonly RouteRule[];
  readonly services: readonly ServiceRule[];
  readonly bounds: CallerBounds;
}
