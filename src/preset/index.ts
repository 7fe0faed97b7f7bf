/**
 * Contracts of the `preset` module.
 *
 * @packageDocumentation
 */
export * from './types.js';
