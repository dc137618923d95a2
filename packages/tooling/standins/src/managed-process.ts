import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, readFileSync } from 'node:fs';

/** How a process ended. */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export interface ProcessOptions {
  readonly name: string;
  /** Script for Node and its arguments. */
  readonly args: readonly string[];
  /** File to which the process's output is added. */
  readonly log: string;
}

/** Children that have not ended. */
const running = new Set<ChildProcess>();

// A script that fails must not leave processes behind that hold their ports.
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** A process of the deployment that this process started. */
export class ManagedProcess {
  private readonly exited: Promise<Exit>;

  /** Whether the process was asked to end. */
  private isEnding = false;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly log: string,
  ) {
    running.add(child);
    this.exited = once(child, 'exit').then(([code, signal]) => {
      running.delete(child);
      return { code, signal };
    });
  }

  static start({ name, args, log }: ProcessOptions): ManagedProcess {
    const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    const output = createWriteStream(log, { flags: 'a' });
    child.stdout?.pipe(output, { end: false });
    child.stderr?.pipe(output, { end: false });
    return new ManagedProcess(name, child, log);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** How the process ended and the last lines of its log, if it ended without being asked to. */
  unexpectedExit(lines = 40): string | undefined {
    if (this.isRunning || this.isEnding) return undefined;
    const { exitCode, signalCode } = this.child;
    const tail = readFileSync(this.log, 'utf8').split('\n').slice(-lines).join('\n');
    return `${this.name} ended by itself (code ${exitCode}, signal ${signalCode}):\n${tail}`;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends SIGTERM and waits for the end. */
  async stop(): Promise<Exit> {
    this.isEnding ||= this.isRunning;
    if (this.isRunning) this.signal('SIGTERM');
    return this.exited;
  }

  /** Sends SIGKILL and waits for the end. */
  async kill(): Promise<Exit> {
    this.isEnding ||= this.isRunning;
    if (this.isRunning) this.signal('SIGKILL');
    return this.exited;
  }
}
