/**
 * HTTP server for operators and monitoring.
 *
 * @packageDocumentation
 */
export {OperatorServer, type OperatorView} from './operator_server.js';
