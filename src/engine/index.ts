/**
 * Contracts of the `engine` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
