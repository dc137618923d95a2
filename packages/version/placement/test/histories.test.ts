import type { Protections } from '../src';
import { runHistory } from './histories';

/** First violation in the histories of seeds 1 to `limit`; undefined if there is none. */
const firstViolation = async (
  protections: Partial<Protections>,
  limit: number,
): Promise<string | undefined> => {
  for (let seed = 1; seed <= limit; seed += 1) {
    const { seen } = await runHistory(seed, protections);
    if (seen.length > 0) return seen[0];
  }
  return undefined;
};

// Guards against a replica above the limit, memory above an engine's capacity, and an item that
// cannot be loaded after all faults have ended.
test('random histories of two controllers violate no limit and leave no item stuck', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const { seen, stuck } = await runHistory(seed);
    expect({ seed, seen, stuck }).toEqual({ seed, seen: [], stuck: [] });
  }
}, 60_000);

// Guards against a checker or histories that cannot detect a missing protection.
test.each<keyof Protections>(['intentBeforeOrder', 'countInDoubt', 'pairExclusion'])(
  'histories without %s violate a limit',
  async (protection) => {
    expect(await firstViolation({ [protection]: false }, 150)).toMatch(/replicas of|bytes on/);
  },
  60_000,
);
