/**
 * Contracts of the `timeline` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
