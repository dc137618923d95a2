import { readFileSync } from 'node:fs';
import { nearestWord } from '@currantdrift/core';
import { parseArgs } from 'node:util';
import { describeParseError, parseScenario } from './parse';
import { type Protection, protectionNames } from './protections';
import { type Report, runScenario } from './run';

const usage = `usage: scenario [--off PROTECTION] [--seed N] [--trace] FILE...

Protections: ${protectionNames.join(', ')}
Exit codes: 0 all expectations hold, 1 some do not, 2 usage or parse error.`;

export interface Output {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

const print = (file: string, { verdicts, hash, trace }: Report, output: Output, full: boolean) => {
  if (full) trace.forEach((line) => output.out(`  ${line}`));
  verdicts.forEach(({ expectation, holds, detail }) => {
    const mark = holds ? 'ok  ' : 'FAIL';
    const tail = detail === '' ? '' : ` -- ${detail}`;
    output.out(`${mark} ${file}:${expectation.line}: ${expectation.text}${tail}`);
  });
  output.out(`     ${file}: trace ${hash}`);
};

const runFile = async (
  file: string,
  options: { readonly seed?: number; readonly off?: Protection },
  full: boolean,
  output: Output,
): Promise<number> => {
  let source = '';
  try {
    source = readFileSync(file, 'utf8');
  } catch (error) {
    output.err(`cannot read ${file}: ${(error as Error).message}`);
    return 2;
  }
  const parsed = parseScenario(file, source);
  if (parsed.isErr()) {
    output.err(describeParseError(parsed.error));
    return 2;
  }
  const report = await runScenario(parsed.value, options);
  print(file, report, output, full);
  return report.holds ? 0 : 1;
};

const readOptions = (args: readonly string[]) =>
  parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      off: { type: 'string' },
      seed: { type: 'string' },
      trace: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });

/** Runs scenario files; gives the exit code. */
export const main = async (args: readonly string[], output: Output): Promise<number> => {
  let read: ReturnType<typeof readOptions>;
  try {
    read = readOptions(args);
  } catch (error) {
    output.err(`${(error as Error).message}\n${usage}`);
    return 2;
  }
  const { values, positionals } = read;
  if (values.help) {
    output.out(usage);
    return 0;
  }
  if (positionals.length === 0) {
    output.err(usage);
    return 2;
  }
  const off = protectionNames.find((name) => name === values.off);
  if (values.off !== undefined && off === undefined) {
    const nearest = nearestWord(values.off, protectionNames);
    const hint = nearest === undefined ? '' : `; did you mean ${JSON.stringify(nearest)}?`;
    output.err(`there is no protection ${JSON.stringify(values.off)}${hint}\n${usage}`);
    return 2;
  }
  const seed = values.seed === undefined ? undefined : Number(values.seed);
  if (seed !== undefined && !Number.isSafeInteger(seed)) {
    output.err(`--seed takes a whole number, not ${JSON.stringify(values.seed)}`);
    return 2;
  }
  const options = { ...(seed !== undefined && { seed }), ...(off !== undefined && { off }) };
  let code = 0;
  for (const file of positionals) {
    code = Math.max(code, await runFile(file, options, values.trace, output));
  }
  return code;
};
