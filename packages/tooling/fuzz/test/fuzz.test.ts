import { parseScenario } from '@currantdrift/scenario';
import { check, planOf, shrink, textOf } from '../src';

const violationsOf = async (seed: number, off?: Parameters<typeof check>[1]) =>
  (await check(planOf(seed), off))._unsafeUnwrap();

const unsafe = (violations: readonly string[]) =>
  violations.filter((text) => /^always (engine memory|replicas|runs per key)/.test(text));

describe('random scenarios', () => {
  // Guards against violations of the guarantees under combinations of faults.
  it.each([3, 9])('seed %i holds', async (seed) => {
    expect(await violationsOf(seed)).toEqual([]);
  });

  // Guards against scenarios that cannot violate anything. Which of the seeds does so depends on the
  // timing of the code under test, so a few are tried.
  it.each([
    [4, 'claim-before-dispatch'],
    [24, 'failure-kinds'],
    [100, 'count-in-doubt'],
  ] as const)('one of ten seeds from %i on fails without %s', async (first, off) => {
    let found: readonly string[] = [];
    for (let seed = first; seed < first + 10 && found.length === 0; seed += 1) {
      found = unsafe(await violationsOf(seed, off));
    }
    expect(found).not.toEqual([]);
  });

  // Guards against seeds that cannot be run again, and lines that the language does not have.
  it('gives the same text for a seed, and the language reads it', () => {
    const texts = Array.from({ length: 60 }, (_, seed) => textOf(planOf(seed)));
    expect(texts[7]).toBe(textOf(planOf(7)));
    expect(texts.filter((text) => parseScenario('random', text).isErr())).toEqual([]);
  });

  // Guards against shrinking that keeps what is not needed, or drops what is.
  it('keeps just the events that a failure needs', async () => {
    const plan = planOf(3);
    const needed = [plan.events[1], plan.events[plan.events.length - 1]];
    const fails = async ({ events }: typeof plan) => needed.every((one) => events.includes(one));
    expect((await shrink(plan, fails)).events).toEqual(needed);
  });
});
