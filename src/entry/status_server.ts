/**
 * HTTP endpoints for readiness checks and metrics.
 *
 * @packageDocumentation
 */
import {createServer, type Server} from 'node:http';
import type {EntryMetrics} from './entry_metrics.js';
import type {ListenAddress} from './settings.js';

/** Options of {@link StatusServer}. */
export interface StatusServerOptions {
  readonly ready: ListenAddress;
  readonly metricsPort: number;
  readonly metrics: EntryMetrics;
  /** Reports whether the VM accepts new connections. */
  readonly isReady: () => boolean;
}

/** Serves readiness checks on one port and metrics on another. */
export class StatusServer {
  private readonly readyServer: Server;
  private readonly metricsServer: Server;

  /** @param options - addresses, readiness and metrics */
  constructor(private readonly options: StatusServerOptions) {
    this.readyServer = createServer((_request, response) => {
      response.writeHead(options.isReady() ? 200 : 503).end();
    });
    this.metricsServer = createServer((_request, response) => {
      void options.metrics.render().then(
        text =>
          response.writeHead(200, {'content-type': 'text/plain'}).end(text),
        (error: unknown) => response.writeHead(500).end(String(error)),
      );
    });
  }

  /**
   * Opens the ports.
   *
   * @throws the error of a port that cannot be opened
   */
  async listen(): Promise<void> {
    const {ready, metricsPort} = this.options;
    await listenOn(this.readyServer, ready);
    await listenOn(this.metricsServer, {host: ready.host, port: metricsPort});
  }

  /** Closes the ports and their connections. */
  close(): void {
    for (const server of [this.readyServer, this.metricsServer]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function listenOn(server: Server, {host, port}: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
