/**
 * Lookup of routes by host and longest path prefix.
 *
 * @packageDocumentation
 */
import type {RouteConfig, RouteRule, ServiceRule} from './types.js';

/**
 * Index of the routes and services of one configuration.
 *
 * @example
 * ```ts
 * const table = new RouteTable(config);
 * table.find('desk.example', '/lots/7');
 * ```
 */
export class RouteTable {
  private readonly rulesByHost = new Map<string, Map<string, RouteRule>>();
  private readonly servicesByName = new Map<string, ServiceRule>();

  /** @param config - routes and services to index */
  constructor(readonly config: RouteConfig) {
    for (const rule of config.rules) {
      let rules = this.rulesByHost.get(rule.host);
      if (rules === undefined) {
        rules = new Map();
        this.rulesByHost.set(rule.host, rules);
      }
      rules.set(rule.pathPrefix, rule);
    }
    for (const service of config.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Version of the routes. */
  get version(): number {
    return this.config.version;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host - value of the `host` header, with or without port
   * @param path - path with or without query
   * @returns the route, or undefined if none matches
   */
  find(host: string, path: string): RouteRule | undefined {
    const rules = this.rulesByHost.get(normalizeHost(host));
    if (rules === undefined) {
      return undefined;
    }
    const queryStart = path.indexOf('?');
    const plainPath = queryStart < 0 ? path : path.slice(0, queryStart);
    let end = plainPath.lastIndexOf('/');
    while (end >= 0) {
      const rule = rules.get(plainPath.slice(0, end + 1));
      if (rule !== undefined) {
        return rule;
      }
      end = end === 0 ? -1 : plainPath.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /**
   * Finds the settings of a service.
   *
   * @param name - name of the service
   * @returns the settings, or undefined for a service without any
   */
  service(name: string): ServiceRule | undefined {
    return this.servicesByName.get(name);
  }
}

/**
 * Normalizes a host for comparison with the hosts of routes.
 *
 * @param host - host with or without port
 * @returns lower-case host without port
 */
export function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
