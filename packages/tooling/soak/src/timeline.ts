/** One thing that happened. */
export interface Happening {
  /** Time since the start of the run, in ms. */
  readonly at: number;
  readonly text: string;
}

/** What happened in a run, in the order of time. */
export class Timeline {
  private readonly happenings: Happening[] = [];

  private constructor(private readonly startedAt: number) {}

  static create(): Timeline {
    return new Timeline(performance.now());
  }

  /** Time since the start of the run, in ms. */
  now(): number {
    return performance.now() - this.startedAt;
  }

  note(text: string): void {
    this.happenings.push({ at: this.now(), text });
  }

  get length(): number {
    return this.happenings.length;
  }

  /** Happenings at most `spanMs` before or after a time. */
  around(at: number, spanMs: number): readonly Happening[] {
    return this.happenings.filter((one) => Math.abs(one.at - at) <= spanMs);
  }
}
