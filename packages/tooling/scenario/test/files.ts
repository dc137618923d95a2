import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describeParseError, parseScenario, type Scenario } from '../src';

const directory = join(__dirname, '../../../../scenarios');

/** Names of the scenario files of the repository. */
export const files = readdirSync(directory)
  .filter((name) => name.endsWith('.scenario'))
  .sort();

/** Parses a scenario file of the repository. */
export const read = (file: string): Scenario =>
  parseScenario(file, readFileSync(join(directory, file), 'utf8')).match(
    (scenario) => scenario,
    (error) => {
      throw new Error(describeParseError(error));
    },
  );

/** Expectations that do not hold, with what was seen. */
export const violated = (
  verdicts: readonly {
    readonly expectation: { readonly text: string };
    readonly holds: boolean;
    readonly detail: string;
  }[],
): string[] =>
  verdicts
    .filter(({ holds }) => !holds)
    .map(({ expectation, detail }) => `${expectation.text}: ${detail}`);
