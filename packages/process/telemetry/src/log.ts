import type { Fields } from '@currantdrift/core';
import createDebug from 'debug';

// Turns off the colours, prefix and time that debug adds, which would make the lines invalid JSON.
createDebug.formatArgs = () => {};

/** Writes one complete line; the writer adds the line break. */
export type LineWriter = (line: string) => void;

const writeToStderr: LineWriter = (line) => {
  process.stderr.write(`${line}\n`);
};

/** A log of JSON lines in one `debug` namespace, enabled by `DEBUG` or `enableLogs`. */
export class JsonLog {
  private constructor(
    private readonly output: createDebug.Debugger,
    private readonly commonFields: Fields,
  ) {}

  /** `commonFields` are added to every line. */
  static create(group: string, commonFields: Fields, write: LineWriter = writeToStderr): JsonLog {
    const output = createDebug(group);
    output.log = (_format: string, line: string) => write(line);
    return new JsonLog(output, commonFields);
  }

  /** Writes a line; `now` is in ms since the Unix epoch. */
  write(event: string, fields: Fields | undefined, now: number): void {
    if (!this.output.enabled) return;
    const time = new Date(now).toISOString();
    this.output('%s', JSON.stringify({ time, event, ...this.commonFields, ...fields }));
  }
}

/** Enables the log groups that match a pattern such as `currantdrift:*`. DEBUG overrides it. */
export const enableLogs = (pattern: string): void => {
  createDebug.enable(process.env.DEBUG ?? pattern);
};
