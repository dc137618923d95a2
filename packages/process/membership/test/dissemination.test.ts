import fc from 'fast-check';
import { pack } from 'msgpackr';
import { type Fact } from '@currantdrift/membership';
import { Gossip, maxGossipBytes } from '../src/gossip';
import { Domain } from './domain';

const facts = fc.array(
  fc.record({
    key: fc.constantFrom(
      'i/engine-1',
      'i/engine-2',
      'c/engine-1',
      'e/engine-3',
      'w/isani/a',
      'x/a',
    ),
    rank: fc.tuple(fc.integer({ min: 1, max: 5 }), fc.integer({ min: 1, max: 5 })),
  }),
  { maxLength: 20 },
);

/** Derives the value from the rank: each rank of a key is published once, so has one value. */
const withValue = ({ key, rank }: { key: string; rank: readonly number[] }): Fact => ({
  key,
  rank,
  value: ['boot-1', rank[0], []],
});

const newest = (all: readonly Fact[]): Record<string, string> => {
  const byKey: Record<string, string> = {};
  all.forEach(({ key, rank }) => {
    const version = rank.join('.');
    if (byKey[key] === undefined || version > byKey[key]) byKey[key] = version;
  });
  return byKey;
};

// Guards against members that still differ after a digest comparison.
test('a repair gives both members the newest version of every fact', async () => {
  await fc.assert(
    fc.asyncProperty(facts, facts, async (left, right) => {
      const domain = new Domain({ size: 2 });
      const [a, b] = domain.daemons;
      await a.peers.listen();
      await b.peers.listen();
      left.map(withValue).forEach((fact) => a.membership.dissemination.publish(fact));
      right.map(withValue).forEach((fact) => b.membership.dissemination.publish(fact));
      const repaired = await domain.clock.settle(a.membership.dissemination.repair(b.address));
      expect(repaired.isOk()).toBe(true);
      const expected = newest([...left, ...right].map(withValue));
      [a, b].forEach(({ membership }) => {
        expect(newest(membership.dissemination.table.after(''))).toEqual(expected);
      });
      expect(a.membership.dissemination.table.digest()).toEqual(
        b.membership.dissemination.table.digest(),
      );
    }),
    { seed: 20_261_204, numRuns: 100 },
  );
});

// Guards against messages that grow with the number of changes, and against updates that are
// never sent or never dropped.
test('a message takes at most 600 bytes of updates and each is sent 3 x log2(n) times', () => {
  const gossip = Gossip.create();
  const keys = Array.from({ length: 50 }, (_each, index) => `i/engine-${index}`);
  keys.forEach((key, index) =>
    gossip.add({ key, rank: [1, 1], value: 'x'.repeat(index * 10) }, true, 0),
  );
  const sent = new Map<string, number>();
  for (;;) {
    const updates = gossip.take(31);
    if (updates.length === 0) break;
    const bytes = updates.reduce((sum, update) => sum + pack(update).length, 0);
    expect(bytes).toBeLessThanOrEqual(maxGossipBytes);
    updates.forEach(([key]) => sent.set(key, (sent.get(key) ?? 0) + 1));
  }
  expect(sent).toEqual(new Map(keys.map((key) => [key, 15])));
  expect(gossip.backlogBytes).toBe(0);
});

// Guards against a fact that is too large for gossip and is never delivered.
test('a large fact is announced and fetched', async () => {
  const domain = new Domain({ size: 6 });
  await domain.start();
  const value = 'x'.repeat(5000);
  domain.daemons[0].membership.publish({ key: 'c/engine-1', rank: [1, 1], value });
  await domain.clock.advance(12_000);
  domain.daemons.forEach(({ membership }) => {
    expect(membership.dissemination.table.get('c/engine-1')?.value).toBe(value);
  });
});
