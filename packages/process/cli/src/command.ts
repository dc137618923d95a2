import type { Result } from 'neverthrow';
import type { ExitCode } from './exit';

/** Exit code and message of a failed command. */
export interface CommandFailure {
  readonly code: ExitCode;
  readonly message: string;
}

/** Result of a command: lines of text, and a value for `--json`. */
export interface CommandOutput {
  readonly lines: readonly string[];
  readonly value: unknown;
}

export interface CommandOption {
  readonly type: 'string' | 'boolean';
  /** Placeholder for the value in the help text. */
  readonly value?: string;
  readonly help: string;
  readonly required?: boolean;
}

export type OptionValues = Readonly<Record<string, string | boolean | undefined>>;

/** A command of the client. */
export interface Command {
  /** Words of the command, for example `bundle rollout`. */
  readonly name: string;
  /** Names of the positional arguments. */
  readonly operands: readonly string[];
  readonly summary: string;
  readonly options: Readonly<Record<string, CommandOption>>;
  readonly examples: readonly string[];
  run(
    operands: readonly string[],
    options: OptionValues,
  ): Promise<Result<CommandOutput, CommandFailure>>;
}
