import fc from 'fast-check';
import { type EndpointReport, rendezvousOrder } from '@currantdrift/core';
import { EndpointDirectory, type Fact, FactPrefix, FactTable } from '@currantdrift/membership';
import { Assignment } from '../src/assignment';
import { baseFact, itemsFact } from '../src/endpoint-facts';
import { nextLevel } from '../src/load-level';
import { Domain, host } from './domain';

const item = (name: string) => ({ item: name, bytes: 1e9, state: 'ready' as const, running: 0 });

const endpoints = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'];

// Guards against endpoint state that does not leave its watcher or is altered on the way.
test('all members see the same state of all endpoints', async () => {
  const domain = new Domain({ size: 6, endpoints });
  domain.endpoints.set('engine-2', {
    items: [item('quote-7@3')],
    cached: [{ item: 'brief-2@1', tier: 'disk' }],
    running: 5,
  });
  await domain.start(20_000);
  const views = domain.daemons.map(({ directory }) => directory.endpoint('engine-2'));
  expect(views[0]).toMatchSnapshot();
  views.forEach((view) => expect({ ...view, level: 0 }).toEqual({ ...views[0], level: 0 }));
  domain.daemons.forEach(({ directory }) => {
    expect(directory.replicas('quote-7@3').map((each) => each.host.name)).toEqual(['engine-2']);
    expect(directory.pool('drafting')).toHaveLength(endpoints.length);
  });
});

// Guards against a leaving mark that arrives late at a member with message loss.
test('a leaving mark reaches every member in 2 s although one misses half of its messages', async () => {
  const domain = new Domain({ size: 10, endpoints });
  await domain.start(10_000);
  const lossy = domain.daemons[9].address;
  domain.daemons.forEach(({ address }) => domain.network.setLoss(address, lossy, 0.5));
  domain.endpoints.set('engine-3', { state: 'leaving' });
  await domain.clock.advance(2000);
  expect(domain.daemons.map((each) => each.directory.endpoint('engine-3')?.state)).toEqual(
    Array(10).fill('leaving'),
  );
});

// Guards against an endpoint whose changes are no longer published after its watcher died.
test('another member takes over the endpoints of a dead watcher', async () => {
  const domain = new Domain({ size: 6, endpoints });
  await domain.start(10_000);
  const victim = domain.daemons.find(({ watchers }) => watchers.watched().length > 0);
  if (victim === undefined) throw new Error('no daemon watches an endpoint');
  const [orphan] = victim.watchers.watched();
  domain.kill(victim);
  domain.endpoints.set(orphan, { items: [item('quote-7@3')] });
  await domain.clock.advance(15_000);
  const holders = domain.daemons
    .filter((daemon) => daemon !== victim)
    .map(({ directory }) => directory.replicas('quote-7@3').length);
  expect(holders).toEqual(Array(5).fill(1));
});

// Guards against requests to an endpoint that stopped answering, and against one that stays
// unusable after it answers again.
test('an endpoint is unusable after three failed polls and usable again once it answers', async () => {
  const domain = new Domain({ size: 4, endpoints });
  await domain.start(10_000);
  domain.endpoints.silent.add('engine-1');
  await domain.clock.advance(10_000);
  const usable = () => domain.daemons.map(({ directory }) => directory.pool('drafting').length);
  expect(usable()).toEqual(Array(4).fill(5));
  domain.endpoints.silent.delete('engine-1');
  await domain.clock.advance(8000);
  expect(usable()).toEqual(Array(4).fill(6));
});

// Guards against a drain that does not reach all daemons or cannot be undone.
test('an operator drains an endpoint and undoes the drain', async () => {
  const domain = new Domain({ size: 6, endpoints });
  await domain.start(10_000);
  const states = () => domain.daemons.map((each) => each.directory.endpoint('engine-4')?.state);
  domain.daemons[2].watchers.setDrained('engine-4');
  await domain.clock.advance(200);
  expect(states()).toEqual(Array(6).fill('leaving'));
  domain.daemons[5].watchers.setDrained('engine-4', false);
  await domain.clock.advance(200);
  expect(states()).toEqual(Array(6).fill('live'));
});

const report = (state: EndpointReport['state'], sequence: number): EndpointReport => ({
  endpoint: 'engine-1',
  bootId: 'boot-1',
  sequence,
  state,
  epoch: 0,
  memoryBytes: 80e9,
  items: [item('quote-7@3')],
  cached: [],
  running: 0,
  waiting: 0,
  slots: 8,
});

type Event =
  | { readonly kind: 'mark'; readonly incarnation: number }
  | { readonly kind: 'report'; readonly incarnation: number; readonly rank: number[] };

const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ kind: fc.constant('mark' as const), incarnation: fc.integer({ min: 1, max: 3 }) }),
  fc.record({
    kind: fc.constant('report' as const),
    incarnation: fc.integer({ min: 1, max: 3 }),
    rank: fc.tuple(
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 1, max: 3 }),
    ),
  }),
);

const toFacts = (given: Event): Fact[] => {
  if (given.kind === 'mark') {
    return [{ key: `${FactPrefix.leaving}engine-1`, rank: [given.incarnation], value: true }];
  }
  const incarnated = host('engine-1', { incarnation: given.incarnation });
  const live = report('live', given.rank[1]);
  return [baseFact(incarnated, live, true, given.rank), itemsFact(incarnated, live, given.rank)];
};

const byRank = (a: readonly number[], b: readonly number[]) =>
  a[0] - b[0] || a[1] - b[1] || a[2] - b[2];

/** Reference model over all events: a mark applies to its incarnation and all earlier ones. */
const isLeaving = (events: readonly Event[]): boolean => {
  const reports = events.flatMap((each) => (each.kind === 'report' ? [each] : []));
  const [newest] = [...reports].sort((a, b) => byRank(b.rank, a.rank));
  return events.some((each) => each.kind === 'mark' && each.incarnation >= newest.incarnation);
};

const checkMarks = (trustsLateReports: boolean) =>
  fc.check(
    fc.property(fc.array(event, { minLength: 1, maxLength: 12 }), (events) => {
      const ranks = events.map((each) => (each.kind === 'report' ? each.rank.join() : ''));
      const reported = ranks.filter((rank) => rank !== '');
      // Two reports never have the same rank: it includes the watcher and its sequence number.
      fc.pre(reported.length > 0 && new Set(reported).size === reported.length);
      const table = FactTable.create();
      const directory = EndpointDirectory.create({ table, domain: 'vake', trustsLateReports });
      events.flatMap(toFacts).forEach((fact) => table.apply(fact));
      const isOut = directory.replicas('quote-7@3').length === 0;
      expect(isOut).toBe(isLeaving(events));
    }),
    { seed: 20_261_204, numRuns: 1000 },
  );

// Guards against a report of the same incarnation that makes a leaving endpoint usable again,
// whether it is older or newer than the mark and in any order of arrival.
test('reports never override a leaving mark', () => {
  expect(checkMarks(true).failed).toBe(true);
  expect(checkMarks(false).failed).toBe(false);
});

const names = (prefix: string, max: number) =>
  fc.uniqueArray(fc.integer({ min: 0, max }).map((number) => `${prefix}-${number}`));

// Guards against an assignment that depends on the order in which members joined and left, and
// therefore differs between daemons.
test('the watcher of an endpoint is the first of its rendezvous order after any changes', () => {
  fc.assert(
    fc.property(fc.array(fc.tuple(names('engine', 8), names('daemon', 8))), (changes) => {
      const assignment = Assignment.create();
      changes.forEach(([engines, daemons]) => {
        assignment.update(engines, daemons);
        expect(engines.map((engine) => assignment.owner(engine))).toEqual(
          engines.map((engine) => rendezvousOrder(engine, daemons)[0]),
        );
      });
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});

// Guards against load levels that oscillate with each report.
test('a level changes only when the load differs by more than one level', () => {
  const loads = [0, 0.9, 1.2, 1.3, 0.9, 2, 3.1, 8, 7, 12, 16, 0];
  const levels = loads.reduce<number[]>(
    (all, load) => [...all, nextLevel(all[all.length - 1], load)],
    [],
  );
  expect(levels).toMatchInlineSnapshot(`
   [
     0,
     0,
     0,
     1,
     1,
     1,
     3,
     8,
     8,
     12,
     16,
     0,
   ]
  `);
});
