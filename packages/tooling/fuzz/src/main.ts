import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { type Protection, protectionNames } from '@currantdrift/scenario';
import { check } from './check';
import { runDifferential } from './differential';
import { planOf } from './generate';
import { type Plan, textOf } from './plan';
import { shrink } from './shrink';

const usage = `usage: fuzz [--seeds N] [--first S] [--off PROTECTION] [--out DIRECTORY] [--differential]

Runs the random scenarios of N seeds from S on (default 20 from 1). A failing one is made smaller
and written to DIRECTORY (default tmp/fuzz). --differential also runs the property tests of the
packages with the same seeds.
Exit codes: 0 all expectations hold, 1 some do not, 2 usage error.`;

export interface Output {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

interface Options {
  readonly seeds: number;
  readonly first: number;
  readonly off: Protection | undefined;
  readonly directory: string;
  readonly differential: boolean;
}

const wholeNumber = (name: string, text: string): number => {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 0) return value;
  throw new Error(`--${name} takes a whole number, not ${JSON.stringify(text)}`);
};

/** Throws an `Error` that says what is wrong. */
const readOptions = (args: readonly string[]): Options | 'help' => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seeds: { type: 'string', default: '20' },
      first: { type: 'string', default: '1' },
      off: { type: 'string' },
      out: { type: 'string', default: join('tmp', 'fuzz') },
      differential: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) return 'help';
  const off = protectionNames.find((name) => name === values.off);
  if (values.off !== undefined && off === undefined) {
    throw new Error(`there is no protection ${JSON.stringify(values.off)}`);
  }
  return {
    seeds: wholeNumber('seeds', values.seeds),
    first: wholeNumber('first', values.first),
    off,
    directory: values.out,
    differential: values.differential,
  };
};

/** Name of a violated expectation, without what was seen. */
const expectationOf = (violation: string): string => violation.split(': ')[0];

/** Makes a failing plan smaller; it goes on violating the same expectation. */
const smaller = (plan: Plan, violation: string, off?: Protection): Promise<Plan> =>
  shrink(plan, async (candidate) => {
    const violations = (await check(candidate, off)).unwrapOr([]);
    return violations.some((one) => expectationOf(one) === expectationOf(violation));
  });

const runSeed = async (
  seed: number,
  { off, directory }: Options,
  output: Output,
): Promise<boolean> => {
  const plan = planOf(seed);
  const checked = await check(plan, off);
  if (checked.isErr()) {
    output.err(`seed ${seed}: ${checked.error}`);
    return false;
  }
  const [violation] = checked.value;
  if (violation === undefined) return true;
  mkdirSync(directory, { recursive: true });
  const file = join(directory, `seed-${seed}.scenario`);
  writeFileSync(file, textOf(await smaller(plan, violation, off)));
  output.out(`seed ${seed}: ${checked.value.join(' | ')} (${file})`);
  return false;
};

/** Runs the fuzzer; gives the exit code. */
export const main = async (args: readonly string[], output: Output): Promise<number> => {
  let options: Options | 'help';
  try {
    options = readOptions(args);
  } catch (error) {
    output.err(`${(error as Error).message}\n${usage}`);
    return 2;
  }
  if (options === 'help') {
    output.out(usage);
    return 0;
  }
  let failed = 0;
  for (let seed = options.first; seed < options.first + options.seeds; seed += 1) {
    if (!(await runSeed(seed, options, output))) failed += 1;
  }
  output.out(`${options.seeds} seeds from ${options.first}, ${failed} failed`);
  if (options.differential) failed += await runDifferential(options, output);
  return failed > 0 ? 1 : 0;
};
