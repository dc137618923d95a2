import {
  describeParseError,
  parseScenario,
  type Protection,
  runScenario,
} from '@currantdrift/scenario';
import { err, ok, type Result } from 'neverthrow';
import { type Plan, textOf } from './plan';

/** Expectations that a run violated, one line each. */
export type Violations = readonly string[];

/** Runs a plan; the error says why it could not be run. */
export const check = async (plan: Plan, off?: Protection): Promise<Result<Violations, string>> => {
  const parsed = parseScenario(`seed-${plan.seed}.scenario`, textOf(plan));
  if (parsed.isErr()) return err(describeParseError(parsed.error));
  try {
    const { verdicts } = await runScenario(parsed.value, off === undefined ? {} : { off });
    return ok(
      verdicts
        .filter(({ holds }) => !holds)
        .map(({ expectation, detail }) => `${expectation.text}: ${detail}`),
    );
  } catch (error) {
    return ok([`the run threw: ${error instanceof Error ? error.message : String(error)}`]);
  }
};
