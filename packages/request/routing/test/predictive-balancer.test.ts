import { SeededRandom } from '@currantdrift/core';
import { PredictiveBalancer } from '../src';

const create = (daemons = 6) => PredictiveBalancer.create(SeededRandom.create(1), () => daemons);

const candidate = (id: string, roundTripMs = 1, bornAt = 1) => ({
  id,
  bornAt,
  slots: 4,
  roundTripMs,
});

// Guards against a burst of prompts on one engine while other replicas are idle.
test('a burst is spread over the replicas', () => {
  const balancer = create();
  const candidates = ['a', 'b', 'c'].map((id) => candidate(id));
  const taken = Array.from(
    { length: 9 },
    () => balancer.reserve(candidates, 1_000, Infinity, 0)?.endpoint,
  );
  ['a', 'b', 'c'].forEach((id) => expect(taken.filter((one) => one === id)).toHaveLength(3));
});

// Guards against crossing the slow link while the own domain has capacity, and against never doing
// so.
test('the nearest endpoint is taken until it is loaded', () => {
  const balancer = create();
  const candidates = [candidate('near', 0.5), candidate('far', 17)];
  const taken = Array.from(
    { length: 6 },
    () => balancer.reserve(candidates, 0, Infinity, 0)?.endpoint,
  );
  expect(taken.slice(0, 2)).toEqual(['near', 'near']);
  expect(taken).toContain('far');
});

// Guards against requests to an endpoint that refuses connections.
test('an unreachable endpoint is used only if there is no other', () => {
  const balancer = create();
  balancer.reserve([candidate('down')], 0, Infinity, 0)?.release('unreachable', 1);
  const both = [candidate('down', 0), candidate('up', 50)];
  expect(balancer.reserve(both, 0, Infinity, 2)?.endpoint).toBe('up');
  expect(balancer.reserve([candidate('down')], 0, Infinity, 2)?.endpoint).toBe('down');
  expect(balancer.isEjected('down', 2)).toBe(true);
});

// Guards against a model without replicas because its only one failed some requests.
test('failures eject an endpoint, and only a failed connection makes it unreachable', () => {
  const balancer = create();
  for (let index = 0; index < 5; index += 1) {
    balancer.reserve([candidate('e')], 0, Infinity, index)?.release('failed', index);
  }
  expect([balancer.isEjected('e', 10), balancer.isUnreachable('e', 10)]).toEqual([true, false]);
  balancer.reserve([candidate('e')], 0, Infinity, 10)?.release('unreachable', 10);
  expect([balancer.isUnreachable('e', 20), balancer.isUnreachable('e', 5_000)]).toEqual([
    true,
    false,
  ]);
});

// Guards against counting the failures of a process against its replacement.
test('a restarted endpoint starts without its earlier failures', () => {
  const balancer = create();
  balancer.reserve([candidate('e')], 0, Infinity, 0)?.release('unreachable', 1);
  balancer.reserve([candidate('e', 1, 2)], 0, Infinity, 2);
  expect(balancer.isEjected('e', 3)).toBe(false);
});

// Guards against counting the load of other daemons long after it was reported.
test('a reported load counts for a limited time', () => {
  const balancer = create();
  const reservation = balancer.reserve([candidate('a')], 0, Infinity, 0);
  reservation?.observeLoad({ running: 40, waiting: 10 }, 0);
  reservation?.release('served', 0);
  const both = [candidate('a', 0.5), candidate('b', 1)];
  expect(balancer.reserve(both, 0, Infinity, 10)?.endpoint).toBe('b');
  expect(balancer.reserve(both, 0, Infinity, 5_000)?.endpoint).toBe('a');
});

// Guards against bursts of prompts whose processing pauses the running streams of an engine for
// long.
test('an endpoint gets no further prompt while too many prompt tokens are unread', () => {
  const balancer = create();
  const one = [candidate('a')];
  const reservation = balancer.reserve(one, 3_000, 2_000, 0);
  expect(reservation).toBeDefined();
  expect(balancer.reserve(one, 100, 2_000, 0)).toBeUndefined();
  reservation?.observeFirstByte(50, 50);
  expect(balancer.reserve(one, 1_500, 2_000, 0)).toBeDefined();
  expect(balancer.reserve(one, 400, 2_000, 0)).toBeDefined();
  expect(balancer.reserve(one, 400, 2_000, 0)).toBeUndefined();
});

// Guards against requests to an engine that other daemons have filled.
test('an endpoint that other daemons use is avoided while their load report is recent', () => {
  const balancer = create();
  const candidates = ['a', 'b'].map((id) => candidate(id));
  ['a', 'b'].forEach((id) => {
    const reservation = balancer.reserve([candidate(id)], 0, Infinity, 0);
    reservation?.release('served', 0);
  });
  balancer.observeFleetLoads([{ endpoint: 'a', inFlight: 3 }], 100);
  expect(balancer.reserve(candidates, 0, Infinity, 200)?.endpoint).toBe('b');
  const later = Array.from({ length: 4 }, () => balancer.reserve(candidates, 0, Infinity, 2_000));
  expect(later.map((reservation) => reservation?.endpoint)).toContain('a');
});

/**
 * Most requests at any of `replicas` when each daemon sends one based on the same reported loads.
 */
const maxRequestsPerEndpoint = (daemons: number, replicas: number): number => {
  const candidates = Array.from({ length: replicas }, (_, index) => candidate(`e${index}`));
  const counts = new Map<string, number>();
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    const balancer = PredictiveBalancer.create(SeededRandom.create(daemon + 1), () => daemons);
    candidates.forEach((one) => balancer.reserve([one], 0, Infinity, 0)?.release('served', 0));
    const loads = candidates.map(({ id }, index) => ({ endpoint: id, inFlight: index }));
    balancer.observeFleetLoads(loads, 0);
    const taken = balancer.reserve(candidates, 0, Infinity, 10)?.endpoint ?? '';
    counts.set(taken, (counts.get(taken) ?? 0) + 1);
  }
  return Math.max(...counts.values());
};

// Guards against daemons that choose at the same time all sending to the same engine.
test('many daemons with the same reported loads do not all choose the same endpoint', () => {
  expect(maxRequestsPerEndpoint(60, 12)).toBeLessThan(60 / 2);
  expect(maxRequestsPerEndpoint(10, 12)).toBe(10);
});
