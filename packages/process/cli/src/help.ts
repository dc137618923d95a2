import type { Command } from './command';
import { commands } from './commands';

/** Usage line of a command. */
export const usageLine = (command: Command): string =>
  ['currantdrift', command.name, ...command.operands, '[options]'].join(' ');

/** General help text of the client. */
export const generalHelp = (): string => {
  const width = Math.max(...commands.map(({ name }) => name.length));
  return [
    'Usage: currantdrift COMMAND [options]',
    '',
    'Commands:',
    ...commands.map(({ name, summary }) => `  ${name.padEnd(width)}  ${summary}`),
    '',
    'Options of every command:',
    '  --json  print the result as JSON',
    '  --help  show the help of a command',
    '',
    'Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 unknown outcome, 5 unreachable',
    '',
    'Example:',
    '  currantdrift bundle rollout signed.json --url http://10.0.0.5:9000',
  ].join('\n');
};

/** Help text of one command. */
export const commandHelp = (command: Command): string => {
  const options = Object.entries(command.options).map(([name, { value, help, required }]) => [
    `--${name}${value === undefined ? '' : ` ${value}`}`,
    `${help}${required ? ' (required)' : ''}`,
  ]);
  const width = Math.max(6, ...options.map(([flag]) => flag.length));
  return [
    `Usage: ${usageLine(command)}`,
    '',
    command.summary,
    '',
    'Options:',
    ...options.map(([flag, help]) => `  ${flag.padEnd(width)}  ${help}`),
    `  ${'--json'.padEnd(width)}  print the result as JSON`,
    '',
    'Examples:',
    ...command.examples.map((example) => `  ${example}`),
  ].join('\n');
};
