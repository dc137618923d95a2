import { parseArgs } from 'node:util';
import { awaitStopSignal } from '@currantdrift/core';
import {
  formatValidationIssue,
  readSettings,
  type Settings,
  type SettingsFailure,
} from '@currantdrift/settings';
import { Result } from 'neverthrow';
import { Daemon } from './daemon';

const exitCodes = { ok: 0, failed: 1, usage: 2 } as const;

const help = `Usage: currantdriftd --settings FILE [--check-settings]

  --settings FILE    settings of this daemon, as JSON
  --check-settings   report every mistake in the settings and exit
  --help             show this help

Signals: SIGTERM and SIGINT stop the daemon without cutting requests, SIGHUP is ignored.
Exit codes: 0 stopped or settings valid, 1 failed to start, 2 wrong usage or settings.

Example:
  currantdriftd --settings /etc/currantdrift/vake-1.json
`;

const writeLine = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

const describeSettingsFailure = (failure: SettingsFailure): string =>
  failure.kind === 'mistakes'
    ? [`${failure.file} has mistakes:`, ...failure.mistakes.map(formatValidationIssue)].join('\n  ')
    : `${failure.file}: ${failure.message}`;

const parseOptions = Result.fromThrowable(
  (args: string[]) =>
    parseArgs({
      args,
      options: {
        settings: { type: 'string' },
        'check-settings': { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    }).values,
  (error) => (error as Error).message,
);

const runDaemon = async (settings: Settings): Promise<number> => {
  const daemon = Daemon.create(settings);
  if (daemon.isErr()) {
    writeLine(daemon.error);
    return exitCodes.usage;
  }
  const stopped = awaitStopSignal();
  // Without a listener, SIGHUP would end the daemon: the kernel sends it to processes whose session ends.
  process.on('SIGHUP', () => writeLine('SIGHUP is ignored: settings are read at the start only'));
  const started = await daemon.value.start();
  if (started.isErr()) {
    writeLine(`cannot listen on ${started.error.address}: ${started.error.message}`);
    return exitCodes.failed;
  }
  await stopped;
  await daemon.value.stop();
  return exitCodes.ok;
};

/** Runs the daemon with the given command-line arguments and returns the exit code. */
export const main = async (args: string[]): Promise<number> => {
  const options = parseOptions(args);
  if (options.isErr()) {
    writeLine(`currantdriftd: ${options.error}\n\n${help}`);
    return exitCodes.usage;
  }
  if (options.value.help) {
    process.stdout.write(help);
    return exitCodes.ok;
  }
  const { settings: file } = options.value;
  if (file === undefined) {
    writeLine(`currantdriftd: --settings must be given\n\n${help}`);
    return exitCodes.usage;
  }
  const settings = readSettings(file);
  if (settings.isErr()) {
    writeLine(`currantdriftd: ${describeSettingsFailure(settings.error)}`);
    return exitCodes.usage;
  }
  if (options.value['check-settings']) {
    process.stdout.write(`${file} is valid\n`);
    return exitCodes.ok;
  }
  return runDaemon(settings.value);
};
