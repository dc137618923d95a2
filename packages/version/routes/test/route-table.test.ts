import { type Configuration, RequestKind, type Route, RouteTable, selectService } from '../src';

const route = (change: Partial<Route>): Route => ({
  name: 'r',
  host: 'a.example',
  prefix: '/x/',
  kind: RequestKind.safe,
  resumable: false,
  timeoutMs: 1_000,
  firstByteTargetMs: 100,
  pauseMs: undefined,
  clientTimeoutMs: undefined,
  priority: 0,
  maxAttempts: 1,
  targets: [{ service: 's', weight: 1 }],
  ...change,
});

const configuration = (routes: Route[]): Configuration => ({
  version: 1,
  routes,
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

// Guards against matching a shorter prefix, another host or part of a path segment.
test.each([
  ['a.example', '/x/1', 'short'],
  ['a.example:8080', '/x/y/1?q=/x/', 'long'],
  ['A.EXAMPLE', '/x/y/', 'long'],
  ['b.example', '/x/1', 'other'],
  ['a.example', '/xy/1', undefined],
  ['a.example', '/x', undefined],
  ['c.example', '/x/1', undefined],
])('%s %s goes to %s', (host, path, name) => {
  const table = RouteTable.create(
    configuration([
      route({ name: 'short' }),
      route({ name: 'long', prefix: '/x/y/' }),
      route({ name: 'other', host: 'b.example' }),
    ]),
  );
  expect(table.match(host, path)?.name).toBe(name);
});

// Guards against weights that have no effect, and retries of a request that go to another service.
test('requests are split by weight, and one request always gets the same service', () => {
  const split = route({
    targets: [
      { service: 'large', weight: 90 },
      { service: 'small', weight: 10 },
      { service: 'none', weight: 0 },
    ],
  });
  const chosen = Array.from({ length: 2_000 }, (_, index) => selectService(split, `id-${index}`));
  const small = chosen.filter((name) => name === 'small').length;
  expect(small).toBeGreaterThan(140);
  expect(small).toBeLessThan(260);
  expect(chosen).not.toContain('none');
  expect(selectService(split, 'id-7')).toBe(chosen[7]);
});
