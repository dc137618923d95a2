import type { Fields } from '@currantdrift/core';
import createDebug from 'debug';

// debug adds colours, a prefix and the time on its own; a JSON line has none of them.
createDebug.formatArgs = () => {};

/** Writes one finished line, without its line break. */
export type LineWriter = (line: string) => void;

const writeToStderr: LineWriter = (line) => {
  process.stderr.write(`${line}\n`);
};

/** A log of JSON lines under one `debug` name, switched on by `DEBUG` or `enableLogs`. */
export class JsonLog {
  private constructor(
    private readonly output: createDebug.Debugger,
    private readonly common: Fields,
  ) {}

  /** `common` fields go into every line. */
  static create(group: string, common: Fields, write: LineWriter = writeToStderr): JsonLog {
    const output = createDebug(group);
    output.log = (_format: string, line: string) => write(line);
    return new JsonLog(output, common);
  }

  /** Writes a line; `now` is in ms since the epoch. */
  write(event: string, fields: Fields | undefined, now: number): void {
    if (!this.output.enabled) return;
    const time = new Date(now).toISOString();
    this.output('%s', JSON.stringify({ time, event, ...this.common, ...fields }));
  }
}

/** Switches on the log groups of a pattern such as `currantdrift:*`; DEBUG goes before it. */
export const enableLogs = (pattern: string): void => {
  createDebug.enable(process.env.DEBUG ?? pattern);
};
