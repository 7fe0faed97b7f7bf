/** Configurations of the operator, as the store holds them. */

/** Builds a configuration with one host. */
export function createConfig({version, host, rules, services}) {
  return {
    version: version.toString(16).padStart(8, '0'),
    limits: {
      header_bytes: 16_384,
      body_bytes: 1_000_000,
      header_timeout: '3000ms',
      idle_timeout: '15s',
    },
    listeners: [{host, rule_set: rules}],
    clusters: services.map(name => ({
      name,
      health_path: '/healthz',
      max_conns: 283,
    })),
  };
}

/** Builds a route to one service. */
export function createRule({name, kind, prefix, service, sloMs, timeoutMs}) {
  return {
    name,
    kind,
    slo: `${sloMs}ms`,
    prio: 1,
    match: {prefix},
    action: {service, timeout: `${timeoutMs}ms`, attempts: 2},
  };
}
