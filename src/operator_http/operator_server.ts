/**
 * The port that operators and monitoring use.
 *
 * @packageDocumentation
 */
import type {AddressInfo} from 'node:net';
import restify from 'restify';
import type {VmStatus, VmTimeline} from '../preset/index.js';

/** What the port shows. */
export interface OperatorView {
  /** False while the VM starts or leaves. */
  isReady(): boolean;
  status(): VmStatus;
  timeline(): VmTimeline;
  /** Figures in the text format of Prometheus. */
  metrics(): Promise<{readonly contentType: string; readonly text: string}>;
}

/**
 * Read-only server: `/healthz`, `/readyz`, `/metrics`, `/status`, `/timeline`.
 *
 * @example
 * ```ts
 * const server = new OperatorServer(view);
 * await server.listen({host: '127.0.0.1', port: 9090});
 * ```
 */
export class OperatorServer {
  private readonly server: restify.Server;

  /** @param view - what the port shows */
  constructor(private readonly view: OperatorView) {
    this.server = restify.createServer({name: 'sycamorepitch'});
    this.addRoutes();
  }

  /**
   * Starts to listen.
   *
   * @param address - host and port; port 0 for any free one
   * @returns the port
   * @throws the error of `listen`, for example when the port is in use
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

  /** Stops at once. */
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
