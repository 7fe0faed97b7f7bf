/**
 * HTTP server for operators.
 *
 * @packageDocumentation
 */
export {OperatorServer, type OperatorView} from './operator_server.js';
