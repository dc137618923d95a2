import type { CacheEvent } from '@currantdrift/core';
import { type DomainOption, orderDomains, PrefixIndex } from '@currantdrift/routing';
import { createBalancer, endpoint } from './pool';

/** Counts the requests that each endpoint gets when no lease is released. */
const countChoices = (
  candidates: ReturnType<typeof endpoint>[],
  requests: number,
  warm?: string,
): Record<string, number> => {
  const { balancer, prefixes } = createBalancer(7, { initialLimit: 16 });
  if (warm !== undefined) prefixes.recordPrompt(warm, 'm@1', ['p1', 'p2']);
  const counts: Record<string, number> = {};
  for (let index = 0; index < requests; index += 1) {
    const request = { candidates, item: 'm@1', prefixes: ['p1', 'p2'] };
    const { endpoint: name } = balancer.acquire(request, 0)._unsafeUnwrap();
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
};

// Guards against weighting the load level, which lags, or cache affinity above the local in-flight count.
test('requests in flight count most, then the load level, then the cached prefix', () => {
  const pool = ['a', 'b', 'c', 'd'].map((name) => endpoint(name));
  const loaded = [endpoint('a', { level: 16 }), ...pool.slice(1)];
  expect({
    even: countChoices(pool, 40),
    loaded: countChoices(loaded, 40),
    warm: countChoices(pool, 40, 'c'),
    firstWarm: countChoices(pool, 3, 'c'),
    warmButLoaded: countChoices(loaded, 3, 'a'),
  }).toMatchSnapshot();
});

// Guards against index entries that survive a restart, are set by delayed events, or grow without bound.
test('the prefix index handles gaps, late events, eviction and restarts', () => {
  const index = PrefixIndex.create(3);
  const event = (sequence: number, prefix: string, kind: CacheEvent['kind'] = 'stored') => ({
    sequence,
    item: 'm@1',
    prefix,
    kind,
  });
  const match = () => index.match('a', 'm@1', ['p1', 'p2']);
  index.apply('a', [event(1, 'p1'), event(5, 'p2')]);
  const seen = [match(), index.missedEvents];
  index.apply('a', [event(6, 'p2', 'evicted'), event(4, 'p2')]);
  seen.push(match(), index.after('a'));
  index.apply('a', [event(7, 'x'), event(8, 'y'), event(9, 'z')]);
  seen.push(match(), index.size);
  index.recordPrompt('a', 'm@1', ['p1']);
  seen.push(match());
  index.forget('a');
  seen.push(match(), index.after('a'));
  expect(seen).toEqual([1, 3, 0.5, 6, 0, 3, 0.5, 0, 0]);
});

// Guards against requests over the billed link between regions that a domain of the region could serve.
test('domains are ordered by warm replicas, region and allotment', () => {
  const own = { name: 'perth-north', region: 'perth' };
  const option = (name: string, region: string, warm: boolean): DomainOption => ({
    name,
    region,
    warm,
    allotment: 1,
    reachable: true,
  });
  const order = (...options: DomainOption[]) =>
    orderDomains(own, options).map((one) => `${one.domain} ${one.reason} ${one.crossesRegions}`);
  const far = option('kal-east', 'kalgoorlie', true);
  const near = option('perth-south', 'perth', true);
  const cold = option('perth-north', 'perth', false);
  expect({
    ownWarm: order(far, near, { ...cold, warm: true }),
    regionWarm: order(far, cold, near),
    ownAllotment: order(far, { ...near, warm: false }, cold),
    nearestAllotment: order(far, { ...near, warm: false }, { ...cold, allotment: 0 }),
    cutOff: order({ ...far, reachable: false }, { ...near, reachable: false }, cold),
    nowhere: order({ ...cold, allotment: 0 }),
  }).toMatchSnapshot();
});
