/**
 * Contracts of the `routing` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
