import type { BundleDomain, EndpointReport } from '@currantdrift/core';
import fc from 'fast-check';
import {
  type Account,
  allotment,
  allotmentWithLoans,
  claimsOf,
  committedBytes,
  countReplicas,
  emptyRecord,
  type EngineStatus,
  type Intent,
  IntentKind,
  isExcluded,
  type Loan,
  applyReport,
} from '../src';
import { placementsFor } from '../src/placement-choice';

const seed = 4_127;

const domainsOf = (count: number, late: number): BundleDomain[] =>
  Array.from({ length: count + late }, (_, index) => ({
    name: `domain-${index}`,
    region: 'perth',
    founding: index < count,
  }));

// Guards against allotments that add up to more than a limit while domains hold different bundles.
test('allotments add up to the limit and never fall when it rises', () => {
  fc.assert(
    fc.property(fc.string(), fc.nat(40), fc.integer({ min: 1, max: 12 }), (item, limit, count) => {
      const domains = domainsOf(count, 2);
      const all = (n: number) => domains.map(({ name }) => allotment(item, n, name, domains));
      const now = all(limit);
      expect(now.reduce((sum, share) => sum + share, 0)).toBe(limit);
      expect(all(limit + 1).every((share, index) => share >= now[index])).toBe(true);
      expect(now.slice(count)).toEqual([0, 0]);
    }),
    { seed },
  );
});

// Guards against a slot that two domains count as theirs after a loan and a change of the limit.
test('loans never raise the sum above the largest limit in force', () => {
  fc.assert(
    fc.property(
      fc.string(),
      fc.integer({ min: 1, max: 9 }),
      fc.nat(9),
      fc.nat(9),
      (item, lentAt, a, b) => {
        const domains = domainsOf(3, 0);
        const share = (limit: number, name: string) => allotment(item, limit, name, domains);
        const giver = domains.find(({ name }) => share(lentAt, name) > 0)?.name ?? '';
        const taker = domains.find(({ name }) => name !== giver)?.name ?? '';
        const loan: Loan = { id: 'l', item, slots: 1, giver, taker, limit: lentAt };
        const limits = [a, b, a];
        const sum = domains.reduce(
          (total, { name }, index) =>
            total +
            allotmentWithLoans(share(limits[index], name), item, limits[index], name, [loan]),
          0,
        );
        expect(sum).toBeLessThanOrEqual(Math.max(a, b));
      },
    ),
    { seed },
  );
});

const engines = ['e0', 'e1', 'e2'];

const items = ['quote-7@1', 'quote-7@2', 'plan-2@1', 'quote-7:venues@1'];

const intentArbitrary: fc.Arbitrary<Intent> = fc.record({
  id: fc.uuid(),
  engine: fc.constantFrom(...engines),
  bootId: fc.constantFrom('b1', 'b2'),
  item: fc.constantFrom(...items),
  bytes: fc.integer({ min: 1, max: 40 }),
  kind: fc.constantFrom(IntentKind.load, IntentKind.standing, IntentKind.unload),
  epoch: fc.constantFrom(1, 2),
  answered: fc.boolean(),
});

const reportArbitrary = (endpoint: string): fc.Arbitrary<EndpointReport> =>
  fc
    .record({
      bootId: fc.constantFrom('b1', 'b2'),
      epoch: fc.constantFrom(0, 1, 2),
      held: fc.uniqueArray(fc.constantFrom(...items)),
      bytes: fc.integer({ min: 1, max: 40 }),
    })
    .map(({ bootId, epoch, held, bytes }) => ({
      endpoint,
      bootId,
      epoch,
      sequence: 1,
      state: 'live',
      memoryBytes: 100,
      items: held.map((item) => ({ item, bytes, state: 'ready', running: 0 })),
      cached: [],
      running: 0,
      waiting: 0,
      slots: 8,
    }));

const accountArbitrary: fc.Arbitrary<Account> = fc
  .tuple(
    fc.array(intentArbitrary, { maxLength: 12 }),
    fc.tuple(...engines.map((id) => fc.option(reportArbitrary(id), { nil: undefined }))),
    fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
    fc.nat(3),
  )
  .map(([intents, reports, fencing, pending]) => ({
    record: { ...emptyRecord, epoch: 2, intents },
    statuses: new Map(
      engines.map((id, index): [string, EngineStatus] => [
        id,
        { id, pool: 'writer', fencing: fencing[index], state: 'live', report: reports[index] },
      ]),
    ),
    pending: new Set(
      intents
        .filter(({ epoch, answered }) => epoch === 2 && !answered)
        .slice(0, pending)
        .map(({ id }) => id),
    ),
    doubtful: new Set(),
  }));

/** Naive reference: bytes that the report or any intent may account for on one engine and item. */
const reference = (
  { record, statuses, pending }: Account,
  engine: string,
  item: string,
): number => {
  let bytes = 0;
  const report = statuses.get(engine)?.report;
  for (const held of report?.items ?? []) {
    if (held.item === item) bytes = Math.max(bytes, held.bytes);
  }
  for (const intent of record.intents) {
    if (intent.engine !== engine || intent.item !== item || intent.kind === 'unload') continue;
    const otherBoot = report !== undefined && report.bootId !== intent.bootId;
    const mayStillBeSent = pending.has(intent.id) || (intent.epoch < 2 && !intent.answered);
    if (!otherBoot || mayStillBeSent) bytes = Math.max(bytes, intent.bytes);
  }
  return bytes;
};

// Guards against memory or replicas that the accounting misses.
test('accounting agrees with a naive reference', () => {
  fc.assert(
    fc.property(accountArbitrary, (account) => {
      const claims = claimsOf(account);
      engines.forEach((engine) => {
        const expected = items.reduce((sum, item) => sum + reference(account, engine, item), 0);
        expect(committedBytes(claims, engine)).toBe(expected);
      });
      const replicas = engines
        .flatMap((engine) =>
          ['quote-7@1', 'quote-7@2'].map((item) => reference(account, engine, item)),
        )
        .filter((bytes) => bytes > 0).length;
      expect(countReplicas(account, claims, 'quote-7', 'writer')).toBe(replicas);
    }),
    { seed, numRuns: 2_000 },
  );
});

// Guards against a placement on an engine without enough memory or without fencing in force, or of
// an item that a former holder may still load on the engine.
test('placements fit by the naive reference and include every usable engine with room', () => {
  fc.assert(
    fc.property(accountArbitrary, fc.integer({ min: 1, max: 100 }), (account, bytes) => {
      const found = placementsFor(
        { item: 'menu-4@1', bytes, pool: 'writer' },
        {
          account,
          claims: claimsOf(account),
          draining: new Set(),
          avoided: new Set(),
          isLimited: () => false,
          level: () => 0,
          value: () => 1,
          loadMs: () => 1_000,
          queueMs: () => 0,
          evictMs: 3_000,
          permits: () => true,
        },
      );
      const used = (engine: string) =>
        items.reduce((sum, item) => sum + reference(account, engine, item), 0);
      const usable = engines.filter((engine) => {
        const { report, fencing } = account.statuses.get(engine) as EngineStatus;
        return report !== undefined && (!fencing || report.epoch >= 2);
      });
      const roomy = usable.filter((engine) => used(engine) + bytes <= 100);
      expect(found.map(({ engine }) => engine)).toEqual(expect.arrayContaining(roomy));
      found.forEach(({ engine, evictions, withdrawn }) => {
        expect(usable).toContain(engine);
        const freed = [
          ...evictions.map(({ item }) => item),
          ...account.record.intents
            .filter(({ id }) => withdrawn.includes(id))
            .map(({ item }) => item),
        ].reduce((sum, item) => sum + reference(account, engine, item), 0);
        expect(used(engine) - freed + bytes).toBeLessThanOrEqual(100);
        evictions.forEach(({ item }) => expect(isExcluded(account, engine, item)).toBe(false));
      });
    }),
    { seed, numRuns: 2_000 },
  );
});

// Guards against memory that is freed by an unload without proof, or by a takeover.
test('a report frees only what it proves', () => {
  const intent = (id: string, change: Partial<Intent>): Intent => ({
    id,
    engine: 'e0',
    bootId: 'b1',
    item: 'plan-2@1',
    bytes: 10,
    kind: IntentKind.load,
    epoch: 2,
    answered: true,
    ...change,
  });
  const record = {
    ...emptyRecord,
    epoch: 2,
    intents: [
      intent('loaded', {}),
      intent('unloading', { kind: IntentKind.unload }),
      intent('foreign', { item: 'quote-7@1', epoch: 1, answered: false }),
      intent('lost boot', { item: 'menu-4@1', bootId: 'b0' }),
      intent('pending', { item: 'chat-1@1', bootId: 'b0', answered: false }),
    ],
  };
  const report = fc.sample(reportArbitrary('e0'), { seed, numRuns: 1 })[0];
  const after = (epoch: number, fencing: boolean, ended: number[], answered: string[]) =>
    applyReport(
      record,
      { ...report, bootId: 'b1', epoch, items: [] },
      {
        fencing,
        answeredBefore: new Set(answered),
        endedEpochs: new Set(ended),
        unsettled: new Set(),
        pending: new Set(['pending']),
      },
    ).intents.map(({ id }) => id);
  expect({
    'asked for before the answer': after(0, false, [], []),
    'asked for after the answer': after(0, false, [], ['unloading']),
    'fencing in force': after(2, true, [], []),
    'fencing not yet in force': after(1, true, [], []),
    'higher epoch at an engine that ignores fencing': after(2, false, [], []),
    'former holder gone': after(0, false, [1], []),
  }).toMatchInlineSnapshot(`
   {
     "asked for after the answer": [
       "foreign",
       "pending",
     ],
     "asked for before the answer": [
       "loaded",
       "unloading",
       "foreign",
       "pending",
     ],
     "fencing in force": [
       "loaded",
       "unloading",
       "pending",
     ],
     "fencing not yet in force": [
       "loaded",
       "unloading",
       "foreign",
       "pending",
     ],
     "former holder gone": [
       "loaded",
       "unloading",
       "pending",
     ],
     "higher epoch at an engine that ignores fencing": [
       "loaded",
       "unloading",
       "foreign",
       "pending",
     ],
   }
  `);
});
