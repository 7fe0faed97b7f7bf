/**
 * Order of waiting requests, and the room that is kept for urgent ones.
 *
 * @packageDocumentation
 */
export {
  AdmissionPolicy,
  ArrivalOrder,
  CallerCostOrder,
  EarliestDeadline,
  StrictPriority,
  ValuePerWork,
  type PendingRequest,
} from './admission_policy.js';
export {ClassDemand} from './class_demand.js';
