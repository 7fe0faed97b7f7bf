/**
 * Errors that keep a daemon from starting.
 *
 * @packageDocumentation
 */

/** A listen address of the settings. */
export type ListenerName = 'caller' | 'operator' | 'peer';

/** What operators need to know about the usual errors of `listen`. */
const REASONS: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use',
  EACCES: 'this user may not use the port',
  EADDRNOTAVAIL: 'this VM does not have the address',
};

/** gRPC does not pass on the error code of the operating system. */
const GRPC_BIND_FAILURE = 'No address added out of total';

/**
 * A port cannot be opened. The message names the setting to look at, so that
 * it needs no stack trace.
 */
export class ListenError extends Error {
  /**
   * @param listener - key of the address in the settings
   * @param address - address of the settings
   * @param cause - error of the adapter
   *
   * @example
   * ```ts
   * throw new ListenError('caller', settings.caller, error);
   * ```
   */
  constructor(
    listener: ListenerName,
    address: {readonly host: string; readonly port: number},
    cause: unknown,
  ) {
    super(
      `cannot listen on ${address.host} port ${address.port}, ${describe(cause)}; ` +
        `free the port or change ${listener}.host and ${listener}.port in the settings`,
    );
    this.name = 'ListenError';
  }
}

/**
 * Opens a port.
 *
 * @param listener - key of the address in the settings
 * @param address - address of the settings
 * @param open - opens the port
 * @returns what `open` returns
 * @throws ListenError if the port cannot be opened
 *
 * @example
 * ```ts
 * const port = await listenOn('caller', address, () => server.listen(address));
 * ```
 */
export async function listenOn<T>(
  listener: ListenerName,
  address: {readonly host: string; readonly port: number},
  open: () => Promise<T>,
): Promise<T> {
  try {
    return await open();
  } catch (error) {
    throw new ListenError(listener, address, error);
  }
}

function describe(cause: unknown): string {
  const text = cause instanceof Error ? cause.message : String(cause);
  const code = Object.keys(REASONS).find(name => text.includes(name));
  if (code !== undefined) {
    return `${REASONS[code]} (${code})`;
  }
  return text.includes(GRPC_BIND_FAILURE)
    ? 'the port is in use or this VM does not have the address'
    : text;
}
