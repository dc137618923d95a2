import { parseArgs } from 'node:util';
import { nearestWord } from '@currantdrift/core';
import { err, ok, Result } from 'neverthrow';
import type { Command, CommandFailure, CommandOutput, OptionValues } from './command';
import { commands } from './commands';
import { ExitCode } from './exit';
import { commandHelp, generalHelp, usageLine } from './help';

/** Output streams of the client. */
export interface Output {
  out(text: string): void;
  err(text: string): void;
}

interface ParsedArguments {
  readonly values: OptionValues;
  readonly positionals: readonly string[];
}

const usageFailure = (message: string): CommandFailure => ({ code: ExitCode.usage, message });

const suggestionFor = (word: string, known: readonly string[]): string => {
  const near = nearestWord(word, known);
  return near === undefined ? '' : `; did you mean ${JSON.stringify(near)}?`;
};

/** Finds the command that the arguments start with; `rest` holds the remaining arguments. */
const findCommand = (
  words: readonly string[],
): Result<{ command: Command; rest: readonly string[] }, CommandFailure> => {
  const command = commands.find(({ name }) =>
    name.split(' ').every((part, index) => words[index] === part),
  );
  if (command !== undefined) {
    return ok({ command, rest: words.slice(command.name.split(' ').length) });
  }
  const names = commands.map(({ name }) => name);
  const typed = words.slice(0, 2).join(' ');
  const near = nearestWord(typed, names) ?? nearestWord(words[0], names);
  const hint = near === undefined ? '' : `; did you mean ${JSON.stringify(near)}?`;
  return err(usageFailure(`there is no command ${JSON.stringify(typed)}${hint}`));
};

const unknownOptionPattern = /Unknown option '--?([^']+)'/;

const parseOptions = (
  command: Command,
  rest: readonly string[],
): Result<ParsedArguments, CommandFailure> => {
  const known = {
    ...Object.fromEntries(
      Object.entries(command.options).map(([name, { type }]) => [name, { type }]),
    ),
    json: { type: 'boolean' as const },
    help: { type: 'boolean' as const },
  };
  const parse = Result.fromThrowable(
    (): ParsedArguments => parseArgs({ args: [...rest], options: known, allowPositionals: true }),
    (error) => {
      const { message } = error as Error;
      const word = unknownOptionPattern.exec(message)?.[1];
      if (word === undefined) return usageFailure(message);
      return usageFailure(`there is no option --${word}${suggestionFor(word, Object.keys(known))}`);
    },
  );
  return parse();
};

const checkOperands = (
  command: Command,
  parsed: ParsedArguments,
): Result<ParsedArguments, CommandFailure> => {
  const { operands, options } = command;
  if (parsed.positionals.length !== operands.length) {
    return err(
      usageFailure(`expected ${operands.join(' ') || 'no operand'}\nUsage: ${usageLine(command)}`),
    );
  }
  const missing = Object.entries(options)
    .filter(([name, { required }]) => required && parsed.values[name] === undefined)
    .map(([name]) => `--${name}`);
  return missing.length === 0
    ? ok(parsed)
    : err(usageFailure(`${missing.join(', ')} must be given`));
};

const print = (output: Output, result: CommandOutput, json: boolean): void =>
  output.out(json ? JSON.stringify(result.value, null, 2) : result.lines.join('\n'));

const report = (output: Output, failure: CommandFailure, json: boolean): ExitCode => {
  if (json) output.out(JSON.stringify({ error: { ...failure } }, null, 2));
  else output.err(`currantdrift: ${failure.message}`);
  return failure.code;
};

/** Runs the client with its arguments and returns the exit code. */
export const run = async (words: readonly string[], output: Output): Promise<ExitCode> => {
  const json = words.includes('--json');
  if (words.length === 0 || ['help', '--help', '-h'].includes(words[0])) {
    output.out(generalHelp());
    return words.length === 0 ? ExitCode.usage : ExitCode.ok;
  }
  const found = findCommand(words);
  if (found.isErr()) return report(output, found.error, json);
  const { command, rest } = found.value;
  const parsed = parseOptions(command, rest);
  if (parsed.isOk() && parsed.value.values.help) {
    output.out(commandHelp(command));
    return ExitCode.ok;
  }
  const checked = parsed.andThen((value) => checkOperands(command, value));
  if (checked.isErr()) return report(output, checked.error, json);
  const result = await command.run(checked.value.positionals, checked.value.values);
  if (result.isErr()) return report(output, result.error, json);
  print(output, result.value, json);
  return ExitCode.ok;
};
