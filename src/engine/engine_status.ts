/**
 * Snapshot of the engine for the status page.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {TargetStatus} from '../routing/index.js';
import type {EngineContext} from './engine_context.js';
import type {ServiceState} from './service_state.js';

/** Estimated service time of one kind. */
export interface KindStatus {
  readonly name: string;
  /** Estimated service time in milliseconds; 0 without any observation. */
  readonly medianMs: number;
  readonly p99Ms: number;
}

/** State of one service. */
export interface ServiceStatus {
  readonly name: string;
  /** False if the active preset does not name the service. */
  readonly isActive: boolean;
  readonly waitingCount: number;
  readonly inFlightCount: number;
  /** Tokens left in the retry budget. */
  readonly retryTokens: number;
  readonly kinds: readonly KindStatus[];
  readonly targets: readonly TargetStatus[];
}

/** State of the engine at one instant. */
export interface EngineStatus {
  readonly vmId: string;
  /** Name of the active preset; undefined before the first preset. */
  readonly presetName: string | undefined;
  readonly hasVmList: boolean;
  readonly readyVmIds: readonly string[];
  readonly liveVmIds: readonly string[];
  readonly inFlightCount: number;
  readonly pendingClaimCount: number;
  readonly services: readonly ServiceStatus[];
}

/**
 * Returns a snapshot of the engine's state.
 *
 * @internal
 */
export function readStatus(
  context: EngineContext,
  nowMs: InstantMs,
): EngineStatus {
  return {
    vmId: context.options.vmId,
    presetName: context.preset?.name,
    hasVmList: context.vmList !== undefined,
    readyVmIds: context.readyVmIds,
    liveVmIds: context.liveVmIds,
    inFlightCount: context.requests.size,
    pendingClaimCount: context.pendingClaims.size,
    services: [...context.services.values()].map(service =>
      readService(service, nowMs),
    ),
  };
}

function readService(service: ServiceState, nowMs: InstantMs): ServiceStatus {
  const kinds = service.snapshot?.preset.kinds ?? [];
  return {
    name: service.name,
    isActive: service.snapshot !== undefined,
    waitingCount: service.queue.size,
    inFlightCount: service.inFlight,
    retryTokens: service.retryBudget.remaining,
    kinds: kinds.map(kind => ({
      name: kind.name,
      medianMs: service.estimateMs(kind, nowMs),
      p99Ms: service.estimatorOf(kind).p99Ms,
    })),
    targets: service.pool.statuses(nowMs),
  };
}
