import { type Exit, ManagedProcess } from '@currantdrift/standins';

/** A program that the soak starts, signals and starts again. */
export class Child {
  private process: ManagedProcess | undefined;

  private startCount = 0;

  private startedAt = -Infinity;

  private constructor(
    readonly name: string,
    private readonly args: readonly string[],
    private readonly log: string,
  ) {}

  /** `args` are the script for Node and its arguments; what it writes is added to the file `log`. */
  static create(name: string, args: readonly string[], log: string): Child {
    return new Child(name, args, log);
  }

  /** Number of starts so far. */
  get starts(): number {
    return this.startCount;
  }

  /** Undefined while the program does not run. */
  get pid(): number | undefined {
    return this.process?.isRunning === true ? this.process.pid : undefined;
  }

  /** Time since the last start, in ms. */
  get ageMs(): number {
    return performance.now() - this.startedAt;
  }

  start(): void {
    if (this.process?.isRunning === true) return;
    const { name, args, log } = this;
    this.startCount += 1;
    this.startedAt = performance.now();
    this.process = ManagedProcess.start({ name, args, log });
  }

  /** Sends a signal to the program, if it runs. */
  signal(name: NodeJS.Signals): void {
    if (this.process?.isRunning === true) this.process.signal(name);
  }

  /** Sends SIGTERM and waits for the end. */
  stop(): Promise<Exit | undefined> {
    return Promise.resolve(this.process?.stop());
  }

  /** Ends the program at once, also while it is paused. */
  async kill(): Promise<void> {
    await this.process?.kill();
  }
}
