import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';

export interface ChildEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A program that the soak starts, signals and starts again. */
export class Child {
  private process: ChildProcess | undefined;

  private ended: Promise<ChildEnd> = Promise.resolve({ code: 0, signal: null });

  private readonly log: WriteStream;

  private startCount = 0;

  private startedAt = -Infinity;

  private constructor(
    readonly name: string,
    private readonly command: readonly string[],
    logFile: string,
  ) {
    this.log = createWriteStream(logFile, { flags: 'a' });
  }

  /** `command` is the program and its arguments; what it writes goes to `logFile`. */
  static create(name: string, command: readonly string[], logFile: string): Child {
    return new Child(name, command, logFile);
  }

  /** Number of starts so far. */
  get starts(): number {
    return this.startCount;
  }

  /** Time since the last start, in ms. */
  get ageMs(): number {
    return performance.now() - this.startedAt;
  }

  get isRunning(): boolean {
    return this.process !== undefined;
  }

  start(): void {
    if (this.process !== undefined) return;
    this.startCount += 1;
    this.startedAt = performance.now();
    const [program, ...args] = this.command;
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'], env: {} });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    this.process = child;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (this.process === child) this.process = undefined;
        resolve({ code, signal });
      });
    });
  }

  /** Sends a signal to the program, if it runs. */
  signal(name: NodeJS.Signals): void {
    this.process?.kill(name);
  }

  /** Resolves when the program has ended. */
  end(): Promise<ChildEnd> {
    return this.ended;
  }

  /** Ends the program at once, also while it is paused. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }
}
