import type { Writable } from 'node:stream';

/** Maximum number of bytes buffered for a slow log reader. */
const maxBufferedBytes = 262_144;

/** Writes log lines without blocking. Lines are dropped and counted while the buffer is full. */
export class BoundedWriter {
  private droppedLines = 0;

  private constructor(private readonly output: Writable) {}

  static create(output: Writable): BoundedWriter {
    return new BoundedWriter(output);
  }

  write(line: string): void {
    if (this.output.writableLength > maxBufferedBytes) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      this.output.write(`${JSON.stringify({ event: 'log.dropped', lines: this.droppedLines })}\n`);
      this.droppedLines = 0;
    }
    this.output.write(`${line}\n`);
  }
}
