/**
 * Connections of callers and the requests in progress on each.
 *
 * @packageDocumentation
 */
import type {Socket} from 'node:net';
import {CallerConnection} from './caller_connection.js';

/**
 * Keeps the connections of callers in order of their last request. When there
 * are too many, the one that has been without a request in service for longest
 * is closed: it sends a request that does not end, or is kept idle.
 */
export class ConnectionTable {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /**
   * Adds a connection.
   *
   * @param socket - connection to a caller
   * @returns its state, without requests
   */
  add(socket: Socket): CallerConnection {
    const connection = new CallerConnection(socket);
    this.connections.set(socket, connection);
    return connection;
  }

  /** Returns the open connections. */
  values(): Iterable<CallerConnection> {
    return this.connections.values();
  }

  /** Removes a connection. */
  delete(socket: Socket): void {
    this.connections.delete(socket);
  }

  /** Returns a connection, or undefined if it is not open. */
  get(socket: Socket): CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Records that a request is complete and in service.
   *
   * @param connection - an open connection
   * @param requestId - id of the request
   */
  addRequest(connection: CallerConnection, requestId: string): void {
    connection.requestIds.add(requestId);
    // Moves the connection to the end of the order.
    this.connections.delete(connection.socket);
    this.connections.set(connection.socket, connection);
  }

  /**
   * Closes connections until at most a number are left, or all others have a
   * request in service.
   *
   * @param maxCount - number of connections to keep
   * @returns number of connections that were closed
   */
  trim(maxCount: number): number {
    let closedCount = 0;
    for (const [socket, {requestIds}] of this.connections) {
      if (this.connections.size <= maxCount) {
        break;
      }
      if (requestIds.size === 0) {
        this.connections.delete(socket);
        socket.destroy();
        closedCount += 1;
      }
    }
    return closedCount;
  }
}
