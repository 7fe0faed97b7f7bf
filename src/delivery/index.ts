/**
 * Delivery of requests on published routes.
 *
 * @packageDocumentation
 */
export {Delivery, type DeliveryAttempt} from './delivery.js';
export {DeliveryEngine, type DeliveryEngineOptions} from './delivery_engine.js';
export {buildRefusal, type RefusalCause} from './refusal.js';
export type * from './types.js';
