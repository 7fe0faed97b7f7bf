/**
 * Contracts of the `membership` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
