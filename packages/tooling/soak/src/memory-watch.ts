import { readFileSync } from 'node:fs';
import type { Violation } from './violation';
import type { Child } from './child';

/** Pause between two looks, in ms. */
const lookMs = 250;

const bytesPerKb = 1024;

/** Resident memory of a process, in MB; undefined if it does not run. */
const memoryOf = (pid: number): number | undefined => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const [, kilobytes] = /^VmRSS:\s+(\d+) kB/mu.exec(status) ?? [];
    return kilobytes === undefined ? undefined : Number(kilobytes) / bytesPerKb;
  } catch {
    // The process has ended since.
    return undefined;
  }
};

/** Watches the resident memory of the programs that the soak has started. */
export class MemoryWatch {
  private readonly peaks = new Map<string, number>();

  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly children: readonly Child[]) {
    this.timer = setInterval(() => this.look(), lookMs);
  }

  static start(children: readonly Child[]): MemoryWatch {
    return new MemoryWatch(children);
  }

  /** Most memory that any of the programs has used so far, in MB. */
  get peakMb(): number {
    return Math.max(0, ...this.peaks.values());
  }

  /** Ends the watch; a program that used more than `maxMb` is a violation. */
  violations(at: number, maxMb: number): Violation[] {
    clearInterval(this.timer);
    return [...this.peaks]
      .filter(([, peak]) => peak > maxMb)
      .map(([name, peak]) => ({ at, rule: 'memory', text: `${name} used ${Math.round(peak)} MB` }));
  }

  private look(): void {
    this.children.forEach(({ name, pid }) => {
      const used = pid === undefined ? undefined : memoryOf(pid);
      if (used !== undefined) this.peaks.set(name, Math.max(used, this.peaks.get(name) ?? 0));
    });
  }
}
