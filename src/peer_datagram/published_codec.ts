/**
 * Encoding of published routes and targets for transfer between VMs.
 *
 * @packageDocumentation
 */
import type {KnownPosition} from '../fleet/index.js';
import type {
  Evacuation,
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  RegisteredTarget,
  ReportedDeparture,
} from '../registry/index.js';
import type {
  RouteConfig,
  RouteDifference,
  RouteRule,
  ServiceRule,
  WeightedService,
} from '../routes/index.js';
import {WireError, type WireReader} from './wire_reader.js';

/** Type tags of encoded changes. */
const ROUTES_TAG = 'routes';
const DIFFERENCE_TAG = 'routes-difference';
const TARGET_TAG = 'target';
const REMOVED_TAG = 'removed';
const MISSING_TAG = 'missing';

/**
 * Packs a position.
 *
 * @param position - position to send
 * @returns value for the msgpack encoder
 */
export function packPosition(position: KnownPosition): unknown {
  const {revision, ageMs, era, digest} = position;
  return [revision, ageMs, era, digest];
}

/**
 * Unpacks a position.
 *
 * @param reader - reader of the received fields
 * @returns the position
 * @throws WireError if a field is missing or malformed
 */
export function unpackPosition(reader: WireReader): KnownPosition {
  return {
    revision: reader.count(),
    ageMs: reader.count(),
    era: reader.optionalCount(0),
    digest: reader.optionalString(''),
  };
}

/**
 * Packs changes into nested arrays.
 *
 * @param delta - changes to send
 * @returns value for the msgpack encoder
 */
export function packDelta(delta: PublishedDelta): unknown {
  return [
    delta.afterRevision,
    delta.revision,
    delta.changes.flatMap(change =>
      isDomainChange(change) ? [] : [packChange(change)],
    ),
    delta.afterEra,
    delta.era,
    delta.changes.filter(isDomainChange).map(packDomainChange),
  ];
}

/**
 * Unpacks changes.
 *
 * @param reader - reader of the received fields
 * @returns the changes
 * @throws WireError if a field is missing or malformed
 */
export function unpackDelta(reader: WireReader): PublishedDelta {
  const afterRevision = reader.number();
  const revision = reader.number();
  const changes = reader.array(unpackChange);
  const afterEra = reader.optionalCount(0);
  const era = reader.optionalCount(0);
  const domainChanges = reader.optionalArray(unpackDomainChange);
  return {
    afterRevision,
    revision,
    changes: mergeByRevision(changes, domainChanges),
    afterEra,
    era,
  };
}

/** Change that concerns a whole failure domain. */
type DomainChange = Extract<
  PublishedChange,
  {readonly type: 'domain-evacuated' | 'domain-returned'}
>;

/**
 * Returns whether a change concerns a whole failure domain. These follow the
 * other fields, since VMs of an earlier release reject tags that they do not
 * know and ignore further fields.
 */
function isDomainChange(change: PublishedChange): change is DomainChange {
  return (
    change.type === 'domain-evacuated' || change.type === 'domain-returned'
  );
}

function packDomainChange(change: DomainChange): unknown {
  const {type, revision, failureDomain} = change;
  return [type === 'domain-evacuated', revision, failureDomain];
}

function unpackDomainChange(reader: WireReader): DomainChange {
  const isEvacuated = reader.boolean();
  return {
    type: isEvacuated ? 'domain-evacuated' : 'domain-returned',
    revision: reader.count(),
    failureDomain: reader.string(),
  };
}

function mergeByRevision(
  changes: readonly PublishedChange[],
  domainChanges: readonly DomainChange[],
): readonly PublishedChange[] {
  return domainChanges.length === 0
    ? changes
    : [...changes, ...domainChanges].sort((a, b) => a.revision - b.revision);
}

/**
 * Packs a snapshot into nested arrays.
 *
 * @param snapshot - snapshot to send
 * @returns value for the msgpack encoder
 */
export function packSnapshot(snapshot: PublishedSnapshot): unknown {
  const {revision, routes, targets, era, eraAgeMs, departures} = snapshot;
  return [
    revision,
    routes === undefined ? [] : [packRoutes(routes)],
    targets.map(packTarget),
    era,
    eraAgeMs,
    departures.map(packDeparture),
    snapshot.evacuations.map(packEvacuation),
  ];
}

/**
 * Unpacks a snapshot.
 *
 * @param reader - reader of the received fields
 * @returns the snapshot
 * @throws WireError if a field is missing or malformed
 */
export function unpackSnapshot(reader: WireReader): PublishedSnapshot {
  const revision = reader.number();
  const [routes] = reader.array(unpackRoutes);
  return {
    revision,
    routes,
    targets: reader.array(unpackTarget),
    era: reader.optionalCount(0),
    eraAgeMs: reader.optionalCount(0),
    departures: reader.optionalArray(unpackDeparture),
    evacuations: reader.optionalArray(unpackEvacuation),
  };
}

function packEvacuation({failureDomain, revision}: Evacuation): unknown {
  return [failureDomain, revision];
}

function unpackEvacuation(reader: WireReader): Evacuation {
  return {failureDomain: reader.string(), revision: reader.count()};
}

function packChange(change: Exclude<PublishedChange, DomainChange>): unknown {
  switch (change.type) {
    case 'routes':
      return [ROUTES_TAG, change.revision, packRoutes(change.config)];
    case 'routes-difference':
      return [
        DIFFERENCE_TAG,
        change.revision,
        packDifference(change.difference),
      ];
    case 'target':
      return [TARGET_TAG, change.revision, packTarget(change.target)];
    case 'target-removed':
      return [REMOVED_TAG, change.revision, change.targetId];
    case 'target-missing':
      return [MISSING_TAG, change.revision, change.targetId];
  }
}

function unpackChange(reader: WireReader): PublishedChange {
  const tag = reader.string();
  const revision = reader.number();
  switch (tag) {
    case ROUTES_TAG:
      return {type: 'routes', revision, config: unpackRoutes(reader.nested())};
    case DIFFERENCE_TAG:
      return {
        type: 'routes-difference',
        revision,
        difference: unpackDifference(reader.nested()),
      };
    case TARGET_TAG:
      return {type: 'target', revision, target: unpackTarget(reader.nested())};
    case REMOVED_TAG:
      return {type: 'target-removed', revision, targetId: reader.string()};
    case MISSING_TAG:
      return {type: 'target-missing', revision, targetId: reader.string()};
    default:
      throw new WireError(`unknown change type ${tag}`);
  }
}

function packTarget(target: RegisteredTarget): unknown {
  return [
    target.targetId,
    target.service,
    target.host,
    target.port,
    target.failureDomain,
    target.slots,
    target.draining,
    target.warmupRemainingMs,
    target.startedMs,
    target.sequence,
    target.revision,
  ];
}

function unpackTarget(reader: WireReader): RegisteredTarget {
  return {
    targetId: reader.string(),
    service: reader.string(),
    host: reader.string(),
    port: reader.number(),
    failureDomain: reader.string(),
    slots: reader.number(),
    draining: reader.boolean(),
    warmupRemainingMs: reader.number(),
    startedMs: reader.number(),
    sequence: reader.optionalCount(0),
    revision: reader.optionalCount(0),
  };
}

function packDeparture(departure: ReportedDeparture): unknown {
  const {targetId, startedMs, sequence, revision, era, ageMs} = departure;
  return [targetId, startedMs, sequence, revision, era, ageMs];
}

function unpackDeparture(reader: WireReader): ReportedDeparture {
  return {
    targetId: reader.string(),
    startedMs: reader.number(),
    sequence: reader.count(),
    revision: reader.count(),
    era: reader.count(),
    ageMs: reader.count(),
  };
}

function packRoutes(config: RouteConfig): readonly unknown[] {
  const {bounds} = config;
  return [
    config.version,
    config.rules.map(packRule),
    config.services.map(packService),
    bounds.maxHeadBytes,
    bounds.maxBodyBytes,
    bounds.headTimeoutMs,
    bounds.idleTimeoutMs,
  ];
}

function packDifference(difference: RouteDifference): unknown {
  const {baseVersion, removedKeys} = difference;
  return [baseVersion, removedKeys, ...packRoutes(difference)];
}

function unpackDifference(reader: WireReader): RouteDifference {
  return {
    baseVersion: reader.number(),
    removedKeys: reader.strings(),
    ...unpackRoutes(reader),
  };
}

function unpackRoutes(reader: WireReader): RouteConfig {
  return {
    version: reader.number(),
    rules: reader.array(unpackRule),
    services: reader.array(unpackService),
    bounds: {
      maxHeadBytes: reader.number(),
      maxBodyBytes: reader.number(),
      headTimeoutMs: reader.number(),
      idleTimeoutMs: reader.number(),
    },
  };
}

function packRule(rule: RouteRule): unknown {
  return [
    rule.name,
    rule.host,
    rule.pathPrefix,
    rule.idempotent,
    rule.rank,
    rule.objectiveMs,
    rule.timeoutMs,
    rule.maxAttempts,
    rule.services.map(({service, weight}) => [service, weight]),
  ];
}

function unpackRule(reader: WireReader): RouteRule {
  return {
    name: reader.string(),
    host: reader.string(),
    pathPrefix: reader.string(),
    idempotent: reader.boolean(),
    rank: reader.number(),
    objectiveMs: reader.number(),
    timeoutMs: reader.number(),
    maxAttempts: reader.number(),
    services: reader.array(unpackWeight),
  };
}

function unpackWeight(reader: WireReader): WeightedService {
  return {service: reader.string(), weight: reader.number()};
}

function packService(service: ServiceRule): unknown {
  const {name, healthPath, maxConnectionsPerTarget} = service;
  const {coldRequestsPerSecond} = service;
  // Left out without a limit; VMs of an earlier release ignore it.
  return coldRequestsPerSecond === undefined
    ? [name, healthPath, maxConnectionsPerTarget]
    : [name, healthPath, maxConnectionsPerTarget, coldRequestsPerSecond];
}

function unpackService(reader: WireReader): ServiceRule {
  const service = {
    name: reader.string(),
    healthPath: reader.string(),
    maxConnectionsPerTarget: reader.number(),
  };
  const coldRequestsPerSecond = reader.optionalNumber();
  return coldRequestsPerSecond === undefined
    ? service
    : {...service, coldRequestsPerSecond};
}
