/**
 * Opening of ports, with errors that name the setting to check.
 *
 * @packageDocumentation
 */

/** Key of a listen address in the settings. */
export type ListenerName = 'caller' | 'operator' | 'peer' | 'relay';

/** Explanations of common error codes of `listen` for operators. */
const REASONS_BY_CODE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is in use',
  EACCES: 'this user may not use the port',
  EADDRNOTAVAIL: 'this VM does not have the address',
};

/**
 * Message of gRPC bind failures, which lack the operating system's error code.
 */
const GRPC_BIND_FAILURE = 'No address added out of total';

/**
 * Error of a port that cannot be opened. The message names the setting to
 * check, so that it is clear without a stack trace.
 */
export class ListenError extends Error {
  /**
   * @param listener - key of the address in the settings
   * @param address - address in the settings
   * @param cause - error of the server that opens the port
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
      `cannot listen on ${address.host} port ${address.port}, ${describeCause(cause)}; ` +
        `free the port or change ${listener}.host and ${listener}.port in the settings`,
    );
    this.name = 'ListenError';
  }
}

/**
 * Opens a port.
 *
 * @param listener - key of the address in the settings
 * @param address - address in the settings
 * @param open - opens the port
 * @returns the result of `open`
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

function describeCause(cause: unknown): string {
  const text = cause instanceof Error ? cause.message : String(cause);
  const code = Object.keys(REASONS_BY_CODE).find(name => text.includes(name));
  if (code !== undefined) {
    return `${REASONS_BY_CODE[code]} (${code})`;
  }
  return text.includes(GRPC_BIND_FAILURE)
    ? 'the port is in use or this VM does not have the address'
    : text;
}
