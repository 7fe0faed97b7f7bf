/**
 * Compression of large bodies between VMs.
 *
 * The module of Node.js is loaded at its first use: to load it with the daemon
 * would delay the start of VMs whose configuration never needs it.
 *
 * @packageDocumentation
 */
import type * as zlib from 'node:zlib';

/** Fastest level; configurations repeat themselves, so it suffices. */
const LEVEL = 1;

/**
 * Compresses bytes with deflate.
 *
 * @param bytes - bytes to compress
 * @returns compressed bytes
 */
export function compress(bytes: Buffer): Buffer {
  return loadZlib().deflateSync(bytes, {level: LEVEL});
}

/**
 * Decompresses bytes.
 *
 * @param bytes - result of {@link compress}
 * @param maxBytes - most bytes that are accepted
 * @returns the original bytes
 * @throws Error if the bytes are malformed or there are more
 */
export function decompress(bytes: Buffer, maxBytes: number): Buffer {
  return loadZlib().inflateSync(bytes, {maxOutputLength: maxBytes});
}

function loadZlib(): typeof zlib {
  return process.getBuiltinModule('node:zlib');
}
