import { SeededRandom } from '@currantdrift/core';
import { PredictiveBalancer } from '../src';

const create = (daemons = 6) => PredictiveBalancer.create(SeededRandom.create(1), () => daemons);

const candidate = (id: string, roundTripMs = 1, bornAt = 1) => ({
  id,
  bornAt,
  slots: 4,
  roundTripMs,
});

// Guards against bursts of prompts on one engine while others of the same model are idle.
test('a burst is spread over the replicas', () => {
  const choice = create();
  const candidates = ['a', 'b', 'c'].map((id) => candidate(id));
  const taken = Array.from(
    { length: 9 },
    () => choice.reserve(candidates, 1_000, Infinity, 0)?.endpoint,
  );
  ['a', 'b', 'c'].forEach((id) => expect(taken.filter((one) => one === id)).toHaveLength(3));
});

// Guards against crossing the slow link while the own domain has room, and against never doing so.
test('the nearest endpoint is taken until it is loaded', () => {
  const choice = create();
  const candidates = [candidate('near', 0.5), candidate('far', 17)];
  const taken = Array.from(
    { length: 6 },
    () => choice.reserve(candidates, 0, Infinity, 0)?.endpoint,
  );
  expect(taken.slice(0, 2)).toEqual(['near', 'near']);
  expect(taken).toContain('far');
});

// Guards against requests to an endpoint that refuses connections.
test('an unreachable endpoint is left alone, and is tried when nothing else is left', () => {
  const choice = create();
  choice.reserve([candidate('down')], 0, Infinity, 0)?.release('unreachable', 1);
  const both = [candidate('down', 0), candidate('up', 50)];
  expect(choice.reserve(both, 0, Infinity, 2)?.endpoint).toBe('up');
  expect(choice.reserve([candidate('down')], 0, Infinity, 2)?.endpoint).toBe('down');
  expect(choice.isEjected('down', 2)).toBe(true);
});

// Guards against a model without any replica because its only one failed some requests.
test('failures eject an endpoint, and only a failed connection makes it unreachable', () => {
  const choice = create();
  for (let index = 0; index < 5; index += 1) {
    choice.reserve([candidate('e')], 0, Infinity, index)?.release('failed', index);
  }
  expect([choice.isEjected('e', 10), choice.isUnreachable('e', 10)]).toEqual([true, false]);
  choice.reserve([candidate('e')], 0, Infinity, 10)?.release('unreachable', 10);
  expect([choice.isUnreachable('e', 20), choice.isUnreachable('e', 5_000)]).toEqual([true, false]);
});

// Guards against holding the faults of a process against the one that replaced it.
test('a new start of an endpoint begins without its past', () => {
  const choice = create();
  choice.reserve([candidate('e')], 0, Infinity, 0)?.release('unreachable', 1);
  choice.reserve([candidate('e', 1, 2)], 0, Infinity, 2);
  expect(choice.isEjected('e', 3)).toBe(false);
});

// Guards against counting the load of other daemons long after it was stated.
test('a stated load counts for a while', () => {
  const choice = create();
  const place = choice.reserve([candidate('a')], 0, Infinity, 0);
  place?.observeLoad(40, 10, 0);
  place?.release('served', 0);
  const both = [candidate('a', 0.5), candidate('b', 1)];
  expect(choice.reserve(both, 0, Infinity, 10)?.endpoint).toBe('b');
  expect(choice.reserve(both, 0, Infinity, 5_000)?.endpoint).toBe('a');
});

// Guards against bursts of prompts whose reading stops the streams of an engine for long.
test('an endpoint gets no further prompt while too much is unread there', () => {
  const choice = create();
  const one = [candidate('a')];
  const place = choice.reserve(one, 3_000, 2_000, 0);
  expect(place).toBeDefined();
  expect(choice.reserve(one, 100, 2_000, 0)).toBeUndefined();
  place?.observeFirstByte(50);
  expect(choice.reserve(one, 1_500, 2_000, 0)).toBeDefined();
  expect(choice.reserve(one, 400, 2_000, 0)).toBeDefined();
  expect(choice.reserve(one, 400, 2_000, 0)).toBeUndefined();
});

// Guards against requests to an engine that other daemons have filled.
test('an endpoint that other daemons use is avoided while they say so', () => {
  const choice = create();
  const candidates = ['a', 'b'].map((id) => candidate(id));
  ['a', 'b'].forEach((id) => {
    const place = choice.reserve([candidate(id)], 0, Infinity, 0);
    place?.release('served', 0);
  });
  choice.observeFleetLoads([{ endpoint: 'a', inFlight: 3 }], 100);
  expect(choice.reserve(candidates, 0, Infinity, 200)?.endpoint).toBe('b');
  const later = Array.from({ length: 4 }, () => choice.reserve(candidates, 0, Infinity, 2_000));
  expect(later.map((place) => place?.endpoint)).toContain('a');
});

/** Requests at the fullest of `replicas` when many daemons send one each, knowing the same loads. */
const fullest = (daemons: number, replicas: number): number => {
  const candidates = Array.from({ length: replicas }, (_, index) => candidate(`e${index}`));
  const counts = new Map<string, number>();
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    const choice = PredictiveBalancer.create(SeededRandom.create(daemon + 1), () => daemons);
    candidates.forEach((one) => choice.reserve([one], 0, Infinity, 0)?.release('served', 0));
    const loads = candidates.map(({ id }, index) => ({ endpoint: id, inFlight: index }));
    choice.observeFleetLoads(loads, 0);
    const taken = choice.reserve(candidates, 0, Infinity, 10)?.endpoint ?? '';
    counts.set(taken, (counts.get(taken) ?? 0) + 1);
  }
  return Math.max(...counts.values());
};

// Guards against all daemons that send a request in one moment choosing the same engine.
test('many daemons with the same knowledge do not choose the same endpoint', () => {
  expect(fullest(60, 12)).toBeLessThan(60 / 2);
  expect(fullest(10, 12)).toBe(10);
});
