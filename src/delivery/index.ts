/**
 * Delivery of requests on published routes.
 *
 * @packageDocumentation
 */
export {Delivery, type DeliveryAttempt} from './delivery.js';
export {DeliveryEngine} from './delivery_engine.js';
export type {DeliveryEngineOptions} from './delivery_options.js';
export {buildRefusal, type RefusalCause} from './refusal.js';
export type * from './types.js';
