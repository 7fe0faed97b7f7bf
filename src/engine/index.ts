/**
 * Request engine: the lifecycle of requests, composed of the decision modules.
 *
 * @packageDocumentation
 */
export type {RequestEngineOptions} from './engine_context.js';
export type {EngineStatus, KindStatus, ServiceStatus} from './engine_status.js';
export {RequestEngine} from './request_engine.js';
export * from './types.js';
export {isUrgentFact} from './urgent_fact.js';
