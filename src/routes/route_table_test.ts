import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  RouteTable,
  WeightedSplit,
  type RouteConfig,
  type RouteRule,
} from './index.js';

function rule(overrides: Partial<RouteRule> = {}): RouteRule {
  return {
    name: 'r',
    host: 'desk.example',
    pathPrefix: '/lots/',
    idempotent: true,
    rank: 1,
    objectiveMs: 400,
    timeoutMs: 1200,
    maxAttempts: 2,
    services: [{service: 'growers', weight: 1}],
    ...overrides,
  };
}

function config(rules: readonly RouteRule[]): RouteConfig {
  return {
    version: 7,
    rules,
    services: [],
    bounds: {
      maxHeadBytes: 1,
      maxBodyBytes: 1,
      headTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

test('the longest matching path prefix wins', () => {
  // Guards against requests that run at the service of a shorter prefix.
  const table = new RouteTable(
    config([
      rule({name: 'short'}),
      rule({name: 'long', pathPrefix: '/lots/new/'}),
      rule({name: 'all', pathPrefix: '/'}),
    ]),
  );
  assert.equal(table.find('desk.example', '/lots/7')?.name, 'short');
  assert.equal(
    table.find('DESK.example:80', '/lots/new/7?a=/x/')?.name,
    'long',
  );
  assert.equal(table.find('desk.example', '/lots')?.name, 'all');
  assert.equal(table.find('other.example', '/lots/7'), undefined);
});

test('lookup agrees with a linear search of all prefixes', () => {
  // Guards against prefixes that the search by slashes misses.
  const segment = fc.constantFrom('a', 'b', 'ab');
  const path = fc
    .array(segment, {maxLength: 4})
    .map(parts => `/${parts.map(part => `${part}/`).join('')}`);
  fc.assert(
    fc.property(
      fc.uniqueArray(path, {maxLength: 6}),
      path,
      segment,
      (prefixes, base, last) => {
        const rules = prefixes.map(pathPrefix =>
          rule({name: pathPrefix, pathPrefix}),
        );
        const expected = [...prefixes]
          .sort((x, y) => y.length - x.length)
          .find(prefix => `${base}${last}`.startsWith(prefix));
        const found = new RouteTable(config(rules)).find(
          'desk.example',
          `${base}${last}`,
        );
        assert.equal(found?.pathPrefix, expected);
      },
    ),
    {seed: 11},
  );
});

test('a split keeps its weights over any number of requests', () => {
  // Guards against services that receive more requests than operators allow.
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 99}), {minLength: 2, maxLength: 4}),
      fc.double({min: 0, max: 0.999, noNaN: true}),
      fc.integer({min: 1, max: 300}),
      (weights, random, count) => {
        const split = new WeightedSplit();
        const services = weights.map((weight, index) => ({
          service: `s${index}`,
          weight,
        }));
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const seen = new Map<string, number>();
        for (let i = 0; i < count; i += 1) {
          const service = split.next(rule({services}), random) ?? '';
          seen.set(service, (seen.get(service) ?? 0) + 1);
        }
        for (const {service, weight} of services) {
          const share = (seen.get(service) ?? 0) - (count * weight) / total;
          assert.ok(Math.abs(share) < weights.length, `${service} ${share}`);
        }
      },
    ),
    {seed: 12},
  );
});

test('a service with weight 0 receives no requests', () => {
  // Guards against requests to a service that operators have drained.
  const split = new WeightedSplit();
  const services = [
    {service: 'old', weight: 0},
    {service: 'new', weight: 5},
  ];
  for (let i = 0; i < 10; i += 1) {
    assert.equal(split.next(rule({services}), 0.4), 'new');
  }
  const none = [{service: 'old', weight: 0}];
  assert.equal(split.next(rule({services: none}), 0.4), undefined);
});
