import type { Random } from '@currantdrift/core';
import type { Timeline } from './timeline';

/** A kind of fault. */
export interface Fault {
  readonly name: string;
  /** How often it comes, against the others. */
  readonly weight: number;
  /** Begins the fault for `durationMs` and resolves when it is over. */
  readonly run: (durationMs: number) => Promise<void>;
  readonly minMs: number;
  readonly maxMs: number;
}

/** Shortest and longest pause between the beginnings of two faults, in ms. */
const minPauseMs = 150;
const maxPauseMs = 2_500;

const between = (random: Random, low: number, high: number): number =>
  low + random.next() * (high - low);

/** Faults in a random series; they overlap. */
export class FaultSeries {
  private constructor(
    private readonly faults: readonly Fault[],
    private readonly random: Random,
    private readonly timeline: Timeline,
  ) {}

  static create(faults: readonly Fault[], random: Random, timeline: Timeline): FaultSeries {
    return new FaultSeries(faults, random, timeline);
  }

  /** Begins faults until `endsAt` on the timeline, and waits until all are over. */
  async run(endsAt: number): Promise<void> {
    const open: Promise<void>[] = [];
    while (this.timeline.now() < endsAt) {
      const fault = this.pick();
      const durationMs = Math.round(between(this.random, fault.minMs, fault.maxMs));
      this.timeline.note(`${fault.name} for ${durationMs} ms`);
      open.push(fault.run(durationMs));
      const pauseMs = between(this.random, minPauseMs, maxPauseMs);
      await new Promise((resolve) => {
        setTimeout(resolve, pauseMs);
      });
    }
    await Promise.all(open);
  }

  private pick(): Fault {
    const total = this.faults.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.random.next() * total;
    return (
      this.faults.find(({ weight }) => {
        left -= weight;
        return left < 0;
      }) ?? this.faults[0]
    );
  }
}
