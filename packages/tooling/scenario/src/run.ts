import { createHash } from 'node:crypto';
import { judge, type Verdict } from './judge';
import type { Protection } from './protections';
import type { Scenario } from './scenario';
import { perform } from './steps';
import { World } from './world';

export interface RunOptions {
  /** Overrides the seed of the file. */
  readonly seed?: number;
  /** Protection that is switched off. */
  readonly off?: Protection;
}

/** Result of one run of a scenario. */
export interface Report {
  readonly verdicts: readonly Verdict[];
  /** Notable events in order, one line each. */
  readonly trace: readonly string[];
  /** Hash of the trace; equal for equal seeds. */
  readonly hash: string;
  readonly holds: boolean;
}

/** Digits of the trace hash. */
const hashDigits = 12;

const hashOf = (trace: readonly string[]): string =>
  createHash('sha256').update(trace.join('\n')).digest('hex').slice(0, hashDigits);

/** Runs a scenario in virtual time and checks its expectations. */
export const runScenario = async (
  scenario: Scenario,
  options: RunOptions = {},
): Promise<Report> => {
  const world = await World.create(scenario, options);
  const { deployment, history } = world;
  const errors: unknown[] = [];
  const steps = [...scenario.steps].sort((a, b) => a.at - b.at);
  for (const step of steps) {
    await world.runTo(step.at);
    perform(world, step).catch((error: unknown) => errors.push(error));
  }
  const last = Math.max(0, ...[...steps, ...scenario.expectations].map(({ at }) => at));
  await world.runTo(Math.max(deployment.runMs, last + 1));
  const [error] = errors;
  if (error !== undefined) throw error instanceof Error ? error : new Error(String(error));
  const seen = {
    history,
    end: world.clock.now(),
    daemonsAt: (place: string) => world.daemonsAt(place).map(({ name }) => name),
  };
  const verdicts = scenario.expectations.map((expectation) => judge(seen, expectation));
  const { trace } = history;
  return { verdicts, trace, hash: hashOf(trace), holds: verdicts.every(({ holds }) => holds) };
};
