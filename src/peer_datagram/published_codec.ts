/**
 * Published routes and targets as VMs send them to each other.
 *
 * @packageDocumentation
 */
import type {
  PublishedChange,
  PublishedDelta,
  PublishedSnapshot,
  RegisteredTarget,
} from '../registry/index.js';
import type {
  RouteConfig,
  RouteRule,
  ServiceRule,
  WeightedService,
} from '../routes/index.js';
import {WireError, type WireReader} from './wire_reader.js';

/** Marks of the kinds of change. */
const ROUTES_MARK = 'routes';
const TARGET_MARK = 'target';
const REMOVED_MARK = 'removed';

/**
 * Packs changes into nested arrays.
 *
 * @param delta - changes to send
 * @returns value for the codec
 */
export function packDelta(delta: PublishedDelta): unknown {
  return [delta.afterRevision, delta.revision, delta.changes.map(packChange)];
}

/**
 * Unpacks changes.
 *
 * @param reader - fields as sent
 * @returns the changes
 * @throws WireError if the fields do not fit
 */
export function unpackDelta(reader: WireReader): PublishedDelta {
  return {
    afterRevision: reader.number(),
    revision: reader.number(),
    changes: reader.list(unpackChange),
  };
}

/**
 * Packs a whole state into nested arrays.
 *
 * @param snapshot - state to send
 * @returns value for the codec
 */
export function packSnapshot(snapshot: PublishedSnapshot): unknown {
  const {revision, routes, targets} = snapshot;
  return [
    revision,
    routes === undefined ? [] : [packRoutes(routes)],
    targets.map(packTarget),
  ];
}

/**
 * Unpacks a whole state.
 *
 * @param reader - fields as sent
 * @returns the state
 * @throws WireError if the fields do not fit
 */
export function unpackSnapshot(reader: WireReader): PublishedSnapshot {
  const revision = reader.number();
  const [routes] = reader.list(unpackRoutes);
  return {revision, routes, targets: reader.list(unpackTarget)};
}

function packChange(change: PublishedChange): unknown {
  switch (change.type) {
    case 'routes':
      return [ROUTES_MARK, change.revision, packRoutes(change.config)];
    case 'target':
      return [TARGET_MARK, change.revision, packTarget(change.target)];
    case 'target-removed':
      return [REMOVED_MARK, change.revision, change.targetId];
  }
}

function unpackChange(reader: WireReader): PublishedChange {
  const mark = reader.text();
  const revision = reader.number();
  switch (mark) {
    case ROUTES_MARK:
      return {type: 'routes', revision, config: unpackRoutes(reader.nested())};
    case TARGET_MARK:
      return {type: 'target', revision, target: unpackTarget(reader.nested())};
    case REMOVED_MARK:
      return {type: 'target-removed', revision, targetId: reader.text()};
    default:
      throw new WireError(`unknown kind of change ${mark}`);
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
    target.bornMs,
  ];
}

function unpackTarget(reader: WireReader): RegisteredTarget {
  return {
    targetId: reader.text(),
    service: reader.text(),
    host: reader.text(),
    port: reader.number(),
    failureDomain: reader.text(),
    slots: reader.number(),
    draining: reader.flag(),
    warmupRemainingMs: reader.number(),
    bornMs: reader.number(),
  };
}

function packRoutes(config: RouteConfig): unknown {
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

function unpackRoutes(reader: WireReader): RouteConfig {
  return {
    version: reader.number(),
    rules: reader.list(unpackRule),
    services: reader.list(unpackService),
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
    name: reader.text(),
    host: reader.text(),
    pathPrefix: reader.text(),
    idempotent: reader.flag(),
    rank: reader.number(),
    objectiveMs: reader.number(),
    timeoutMs: reader.number(),
    maxAttempts: reader.number(),
    services: reader.list(unpackWeight),
  };
}

function unpackWeight(reader: WireReader): WeightedService {
  return {service: reader.text(), weight: reader.number()};
}

function packService(service: ServiceRule): unknown {
  return [service.name, service.healthPath, service.maxConnectionsPerTarget];
}

function unpackService(reader: WireReader): ServiceRule {
  return {
    name: reader.text(),
    healthPath: reader.text(),
    maxConnectionsPerTarget: reader.number(),
  };
}
