import { type Clock, NoopTelemetry, SeededRandom } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import {
  type ClearedParts,
  CrashLedger,
  type CrashReport,
  CrashWatch,
  EngineState,
  type WatchedRequest,
} from '../src';

const requestOf = (endpoint: string, prompt: string): WatchedRequest => ({
  service: 's',
  endpoint,
  bornAt: 1,
  promptParts: prompt.split(' '),
  digest: prompt,
});

/** Processes that tell each other what they see; `ended` holds the engines that have ended. */
const startFleet = (clock: Clock, count: number) => {
  const ended = new Set<string>();
  const crashes: CrashReport[] = [];
  const cleared: ClearedParts[] = [];
  let probes = 0;
  const watches: CrashWatch[] = Array.from({ length: count }, (_, index) => {
    const random = SeededRandom.create(index + 1);
    const others = () => watches.filter((watch) => watch !== watches[index]);
    return CrashWatch.create({
      clock,
      random,
      telemetry: NoopTelemetry.create(),
      ledger: CrashLedger.create(random),
      probe: async ({ endpoint }) => {
        probes += 1;
        return ended.has(endpoint) ? EngineState.ended : EngineState.alive;
      },
      publishCrash: (report) => {
        crashes.push(report);
        others().forEach((watch) => watch.receiveCrash(report, clock.now()));
      },
      publishCleared: (parts) => {
        cleared.push(parts);
        others().forEach((watch) => watch.receiveCleared(parts, clock.now()));
      },
      members: () => count,
    });
  });
  return { watches, ended, crashes, cleared, probes: () => probes };
};

/** Sends a prompt with which the engine begins its answer and ends. */
const crash = async (
  { watches, ended }: ReturnType<typeof startFleet>,
  clock: VirtualClock,
  index: number,
  endpoint: string,
  prompt: string,
) => {
  const send = watches[index].begin(requestOf(endpoint, prompt), () => {});
  send.recordBegin(clock.now());
  ended.add(endpoint);
  return clock.settle(send.examineBreak(clock.now()));
};

const held = ({ watches }: ReturnType<typeof startFleet>, prompt: string, now: number) =>
  watches.map((watch) => watch.find(requestOf('e', prompt), now) !== undefined);

// Guards against verdicts that each process draws from what it has seen itself.
test('crashes that two processes see hold the prompt back at all', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 4);
  expect(await crash(fleet, clock, 0, 'e1', 'a d p1')).toBe(true);
  expect(held(fleet, 'a d p3', clock.now())).toEqual([false, false, false, false]);
  expect(await crash(fleet, clock, 1, 'e2', 'b d p2')).toBe(true);
  expect(held(fleet, 'c d p3', clock.now())).toEqual([true, true, true, true]);
  expect(held(fleet, 'a b p3', clock.now())).toEqual([false, false, false, false]);
});

// Guards against one question to the engine for each request that broke with it.
test('all requests that break with an engine share one question and one report', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 1);
  fleet.ended.add('e1');
  const sends = ['a x p1', 'a y p2', 'a z p3'].map((prompt) =>
    fleet.watches[0].begin(requestOf('e1', prompt), () => {}),
  );
  sends[0].recordBegin(clock.now());
  const examined = Promise.all(sends.map((send) => send.examineBreak(clock.now())));
  expect(await clock.settle(examined)).toEqual([true, false, false]);
  await clock.advance(100);
  expect([fleet.probes(), fleet.crashes.length]).toEqual([1, 1]);
  expect(fleet.crashes[0].suspects.map(({ hasBegun }) => hasBegun)).toEqual([true, false, false]);
});

// Guards against requests at an engine that crash it after their prompt has become known.
test('requests that an engine has not begun are cancelled when their prompt is held back', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 2);
  const cancelled: string[] = [];
  const wait = (prompt: string) =>
    fleet.watches[1].begin(requestOf('e9', prompt), () => cancelled.push(prompt));
  wait('c d p8');
  wait('c e p9');
  wait('f d p7').recordBegin(clock.now());
  await crash(fleet, clock, 0, 'e1', 'a d p1');
  await crash(fleet, clock, 0, 'e2', 'b d p2');
  expect(cancelled).toEqual(['c d p8']);
});

// Guards against an answer of all processes to each report, and against none.
test('a part that others know to be sound is cleared by few of them', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 40);
  fleet.watches.slice(1).forEach((watch) => {
    watch.begin(requestOf('e5', 'a b p0'), () => {}).complete(clock.now());
  });
  await clock.advance(1_000);
  expect(fleet.cleared).toEqual([]);
  await crash(fleet, clock, 0, 'e1', 'a d p1');
  await clock.advance(500);
  expect(fleet.cleared.length).toBeGreaterThan(0);
  expect(fleet.cleared.length).toBeLessThan(4);
  await crash(fleet, clock, 0, 'e2', 'a d p2');
  expect(held(fleet, 'a d p3', clock.now()).every(Boolean)).toBe(true);
  expect(held(fleet, 'a b p3', clock.now()).some(Boolean)).toBe(false);
});

// Guards against an answer that clears its parts although the engine ends just after its first event.
test('an answer clears its parts only if the engine survives its beginning', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 1);
  const [watch] = fleet.watches;
  for (const [endpoint, prompt] of [
    ['e1', 'a d p1'],
    ['e2', 'b d p2'],
  ]) {
    const send = watch.begin(requestOf(endpoint, prompt), () => {});
    send.recordBegin(clock.now());
    send.recordEvent(clock.now());
    await clock.advance(40);
    fleet.ended.add(endpoint);
    await clock.settle(send.examineBreak(clock.now()));
  }
  expect(held(fleet, 'c d p3', clock.now())).toEqual([true]);
});

// Guards against clients that break or leave requests to get the prompts of others held back.
test('breaks of engines that are alive blame no prompt', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 1);
  for (let index = 0; index < 20; index += 1) {
    const send = fleet.watches[0].begin(requestOf(`e${index}`, `a d p${index}`), () => {});
    send.recordBegin(clock.now());
    await clock.settle(send.examineBreak(clock.now()));
  }
  expect(fleet.crashes).toEqual([]);
  expect(held(fleet, 'a d p99', clock.now())).toEqual([false]);
});

// Guards against requests without a common prompt part, such as calls of plain services, that crash
// engine after engine because nothing names them.
test('a request that comes again is held back after two crashes, at all processes', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 3);
  expect(await crash(fleet, clock, 0, 'e1', 'p1')).toBe(true);
  expect(held(fleet, 'p1', clock.now())).toEqual([false, false, false]);
  expect(await crash(fleet, clock, 1, 'e2', 'p1')).toBe(true);
  expect(held(fleet, 'p1', clock.now())).toEqual([true, true, true]);
  expect(held(fleet, 'p2', clock.now())).toEqual([false, false, false]);
});

/** Breaks the connections of requests that wait for their whole answers at an engine that has ended. */
const breakAll = async (
  { watches, ended }: ReturnType<typeof startFleet>,
  clock: VirtualClock,
  endpoint: string,
  prompts: readonly string[],
) => {
  const sends = prompts.map((prompt, index) =>
    watches[index % watches.length].begin(requestOf(endpoint, prompt), () => {}),
  );
  ended.add(endpoint);
  const examined = Promise.all(sends.map((send) => send.examineBreak(clock.now())));
  const mayHaveCrashed = await clock.settle(examined);
  await clock.advance(100);
  return mayHaveCrashed;
};

// Guards against engines that end before the head of an answer, whose requests all look the same.
test('a request at three crashes without an answer is held back, those beside it are served', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 2);
  const mayHaveCrashed = [
    await breakAll(fleet, clock, 'e1', ['x', 's1', 's2']),
    await breakAll(fleet, clock, 'e2', ['s3', 'x', 's2']),
    await breakAll(fleet, clock, 'e3', ['x', 's4']),
  ];
  // Each request may have a second attempt after the first crash that it was at.
  expect(mayHaveCrashed).toEqual([
    [false, false, false],
    [false, true, true],
    [true, false],
  ]);
  const now = clock.now();
  expect(['x', 's1', 's2', 's3', 's4'].filter((one) => held(fleet, one, now)[0])).toEqual(['x']);
});

// Guards against a popular request that is refused because engines crash while it is at them.
test('a request that engines keep answering is not blamed', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 2);
  for (const endpoint of ['e1', 'e2', 'e3', 'e4']) {
    fleet.watches[1].begin(requestOf('e9', 'popular'), () => {}).complete(clock.now());
    await clock.advance(1_000);
    await breakAll(fleet, clock, endpoint, ['x', 'popular']);
  }
  expect(held(fleet, 'popular', clock.now())).toEqual([false, false]);
  expect(held(fleet, 'x', clock.now())).toEqual([true, true]);
});

// Guards against a prompt that names another request to get it held back, or to clear it.
test('a prompt part with the name of a request stands for no request', async () => {
  const clock = VirtualClock.create();
  const fleet = startFleet(clock, 1);
  await crash(fleet, clock, 0, 'e1', 'request:p9 q1');
  await crash(fleet, clock, 0, 'e2', 'request:p9 q2');
  expect(held(fleet, 'p9', clock.now())).toEqual([false]);
});
