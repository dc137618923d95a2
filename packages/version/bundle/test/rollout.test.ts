// Guards against two accepted bundles for one version, and against a rollout that reports the
// wrong outcome after a lost response.
import { SeededRandom } from '@currantdrift/core';
import { MemoryStore, StoreHandle, VirtualClock } from '@currantdrift/fakes';
import fc from 'fast-check';
import { readHistory, Rollout, type RolloutOutcome } from '../src';
import { readHead } from '../src/bundle-store';
import { callerOf, firstBundle, next, seed, signed, trusted } from './support';

const setUp = () => {
  const clock = VirtualClock.create();
  const store = MemoryStore.create(clock);
  let count = 0;
  const rollout = (handle: StoreHandle, nonceReRead = true) =>
    Rollout.create({
      store: handle,
      clock,
      random: SeededRandom.create(1),
      trusted,
      nonce: () => {
        count += 1;
        return count.toString(16).padStart(32, '0');
      },
      protections: { nonceReRead },
    });
  return { clock, store, rollout, handle: () => StoreHandle.create(store, clock) };
};

const one = firstBundle(4);
const rivals = [0, 1, 2].map((index) => signed(next(one, { callers: [callerOf(index)] })));

interface Faults {
  readonly lost: readonly boolean[];
  readonly latencyMs: number;
  readonly startMs: number;
  readonly downMs: number;
}
const faults: fc.Arbitrary<Faults> = fc.record({
  lost: fc.array(fc.boolean(), { maxLength: 12 }),
  latencyMs: fc.constantFrom(0, 2, 10),
  startMs: fc.nat(30),
  downMs: fc.constantFrom(0, 0, 50, 20_000),
});

/** Three operators roll out version 2 concurrently; returns each outcome and the accepted version. */
const race = async (schedule: readonly Faults[], nonceReRead: boolean) => {
  const { clock, rollout, handle } = setUp();
  const clean = handle();
  await clock.settle(rollout(clean).run(signed(one), 'nino'));
  const runs = schedule.map(async ({ lost, latencyMs, startMs, downMs }, index) => {
    const own = handle();
    let call = 0;
    await clock.sleep(startMs);
    Object.assign(own.faults, {
      latencyMs,
      losesAnswer: () => {
        call += 1;
        return lost[call - 1] ?? false;
      },
    });
    const running = rollout(own, nonceReRead).run(rivals[index], `operator-${index}`);
    await clock.sleep(15);
    own.faults.down = downMs > 0;
    await clock.sleep(downMs);
    own.faults.down = false;
    return running;
  });
  const outcomes = await clock.settle(Promise.all(runs), 50);
  const { head } = (await readHead(clean))._unsafeUnwrap();
  return { outcomes, head };
};

const checkRace = (outcomes: readonly RolloutOutcome[], winner: string | undefined) =>
  outcomes.forEach((outcome, index) => {
    const won = winner === `operator-${index}`;
    if (outcome.kind === 'done') expect(won).toBe(true);
    if (outcome.kind === 'refused' || outcome.kind === 'conflict') expect(won).toBe(false);
    if (outcome.kind === 'conflict') expect(outcome.winner?.operator ?? winner).toBe(winner);
  });

const raceProperty = (nonceReRead: boolean) =>
  fc.asyncProperty(fc.tuple(faults, faults, faults), async (schedule) => {
    const { outcomes, head } = await race(schedule, nonceReRead);
    checkRace(outcomes, head?.version === 2 ? head.operator : undefined);
  });

test('of concurrent rollouts with lost responses and outages only the winner succeeds', async () => {
  await fc.assert(raceProperty(true), { seed, numRuns: 150 });
}, 60_000);

test('without reading the nonce again a losing rollout reports success', async () => {
  const failing = fc.assert(raceProperty(false), { seed: 1, numRuns: 150 });
  await expect(failing).rejects.toThrow(/Property failed/);
}, 60_000);

test('a conflict names the winner, and a repeated rollout is done', async () => {
  const { clock, rollout, handle } = setUp();
  const run = (index: number) => clock.settle(rollout(handle()).run(rivals[index], `op-${index}`));
  const outcomes = [await run(0)];
  await clock.settle(rollout(handle()).run(signed(one), 'nino'));
  outcomes.push(await run(0), await run(1), await run(0));
  const shown = outcomes.map((outcome) => ({
    kind: outcome.kind,
    winner: outcome.kind === 'conflict' ? outcome.winner?.operator : undefined,
  }));
  expect(shown).toMatchSnapshot();
});

test('a bundle that is inconsistent with the accepted one is refused', async () => {
  const { clock, rollout, handle } = setUp();
  await clock.settle(rollout(handle()).run(signed(one), 'nino'));
  const shorter = signed(next(one, { domains: one.domains.slice(1) }));
  expect(await clock.settle(rollout(handle()).run(shorter, 'nino'))).toMatchSnapshot();
});

test('the store keeps the last 64 versions', async () => {
  const { clock, store, rollout, handle } = setUp();
  let bundle = one;
  for (let version = 1; version <= 70; version += 1) {
    const outcome = await clock.settle(rollout(handle()).run(signed(bundle), 'nino'));
    expect(outcome.kind).toBe('done');
    bundle = next(bundle, { callers: [callerOf(version)] });
  }
  const history = (await readHistory(handle()))._unsafeUnwrap();
  expect([history.length, history[0].version, history.at(-1)?.version]).toEqual([64, 70, 7]);
  expect(store.keys('bundle/').length).toBe(64 * 2 + 1);
}, 60_000);
