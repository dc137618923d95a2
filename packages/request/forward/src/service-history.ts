/** Weight of a new sample in the mean times. */
const sampleWeight = 0.05;

/** Time for which a priority counts as in use after a request with it, in ms. */
const priorityLifetimeMs = 10_000;

const mean = (before: number | undefined, sample: number): number =>
  before === undefined ? sample : before + (sample - before) * sampleWeight;

/** What this process has seen lately of the requests for one service. */
export class ServiceHistory {
  private meanFirstByteMs: number | undefined;

  private meanAnswerMs: number | undefined;

  /** Time of the last request with each priority. */
  private readonly usedAt = new Map<number, number>();

  private constructor() {}

  static create(): ServiceHistory {
    return new ServiceHistory();
  }

  /** Mean time from a send to the first byte, in ms; 0 before the first answer. */
  get firstByteMs(): number {
    return this.meanFirstByteMs ?? 0;
  }

  /** Mean time from a send to the end of the answer, in ms; 0 before the first answer. */
  get answerMs(): number {
    return this.meanAnswerMs ?? 0;
  }

  observeFirstByte(elapsedMs: number): void {
    this.meanFirstByteMs = mean(this.meanFirstByteMs, elapsedMs);
  }

  observeAnswer(elapsedMs: number): void {
    this.meanAnswerMs = mean(this.meanAnswerMs, elapsedMs);
  }

  observePriority(priority: number, now: number): void {
    this.usedAt.set(priority, now);
  }

  /** Whether no request with a more urgent (lower) priority has arrived lately. */
  isMostUrgent(priority: number, now: number): boolean {
    return now - this.lastMoreUrgent(priority) >= priorityLifetimeMs;
  }

  /** Time of the last request with a more urgent priority; -Infinity if there was none. */
  private lastMoreUrgent(priority: number): number {
    let last = -Infinity;
    this.usedAt.forEach((at, other) => {
      if (other < priority) last = Math.max(last, at);
    });
    return last;
  }
}
