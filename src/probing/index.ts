/**
 * Contracts of the `probing` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
