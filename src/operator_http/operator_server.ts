/**
 * HTTP server for operators and monitoring.
 *
 * @packageDocumentation
 */
import type {AddressInfo} from 'node:net';
import restify from 'restify';
import type {VmStatus, VmTimeline} from '../preset/index.js';

/** Data that the server exposes. */
export interface OperatorView {
  /** Returns false while the VM is starting or leaving. */
  isReady(): boolean;
  /** Returns the state of the VM, its documents and its members. */
  status(): VmStatus;
  /** Returns the recent events of the VM. */
  timeline(): VmTimeline;
  /** Returns the metrics in the Prometheus text format. */
  metrics(): Promise<{readonly contentType: string; readonly text: string}>;
}

/**
 * Serves read-only endpoints: `/healthz`, `/readyz`, `/metrics`, `/status`,
 * `/timeline`.
 *
 * @example
 * ```ts
 * const server = new OperatorServer(view);
 * await server.listen({host: '127.0.0.1', port: 9090});
 * ```
 */
export class OperatorServer {
  private readonly server: restify.Server;

  /** @param view - data to expose */
  constructor(private readonly view: OperatorView) {
    this.server = restify.createServer({name: 'sycamorepitch'});
    this.addRoutes();
  }

  /**
   * Starts listening.
   *
   * @param address - host and port; 0 for any free port
   * @returns the port that the server listens on
   * @throws the error of `listen`, for example if the port is in use
   */
  listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(address.port, address.host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections immediately. */
  close(): void {
    this.server.close();
    this.server.server.closeAllConnections();
  }

  private addRoutes(): void {
    const {view, server} = this;
    server.get('/healthz', (_request, response, next) => {
      response.send(200, {alive: true});
      next();
    });
    server.get('/readyz', (_request, response, next) => {
      const ready = view.isReady();
      response.send(ready ? 200 : 503, {ready});
      next();
    });
    server.get('/status', (_request, response, next) => {
      response.send(200, view.status());
      next();
    });
    server.get('/timeline', (_request, response, next) => {
      response.send(200, view.timeline());
      next();
    });
    server.get('/metrics', (_request, response, next) => {
      view.metrics().then(
        ({contentType, text}) => {
          response.writeHead(200, {'content-type': contentType});
          response.end(text);
          next();
        },
        (error: unknown) => next(error),
      );
    });
  }
}
