/**
 * Contracts of the `recovery` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
