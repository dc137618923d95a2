import { clockSkewMs, type StoreRestores } from '@currantdrift/booking';
import type { Telemetry } from '@currantdrift/core';

/**
 * Time after a daemon has learnt of a restore within which all daemons that the store reaches have learnt of
 * it and have written again what it lost, in ms: a relay asks the store again at the latest 5 s after it is
 * back, and the members of its domain hear of the new era from it.
 */
const recoveryMs = 15_000;

/** The store's era and when it began, as one daemon knows it. */
export interface KnownEra {
  readonly era: number;
  /** Time at which the daemon learnt of the era, in ms since the epoch; 0 if the store has never come back. */
  readonly since: number;
}

/** Tracks when the store has come back from a copy, from its answers and from other daemons. */
export class RestoreTracker implements StoreRestores {
  private known: KnownEra | undefined;

  private readonly listeners: (() => void)[] = [];

  private constructor(private readonly telemetry: Telemetry) {}

  static create(telemetry: Telemetry): RestoreTracker {
    return new RestoreTracker(telemetry);
  }

  /** The highest era known; undefined before the first answer. */
  get current(): KnownEra | undefined {
    return this.known;
  }

  subscribe(listener: () => void): void {
    this.listeners.push(listener);
  }

  recoveryLeftMs(now: number): number {
    const { era, since } = this.known ?? { era: 0, since: 0 };
    return era === 0 ? 0 : Math.max(0, since + recoveryMs - now);
  }

  /** Takes the era of an answer of the store. A daemon that has just started takes it for a new one. */
  observe(era: number, now: number): void {
    const before = this.known?.era;
    if (before !== undefined && era <= before) return;
    this.known = { era, since: era === 0 ? 0 : now };
    if (before === undefined) return;
    this.telemetry.log('store.restored', { era });
    this.listeners.forEach((listener) => listener());
  }

  /** Takes what another daemon knows: a newer era, or that the current one began earlier. */
  observeMember({ era, since }: KnownEra, now: number): void {
    this.observe(era, now);
    if (this.known === undefined || era !== this.known.era) return;
    this.known = { era, since: Math.min(this.known.since, since + clockSkewMs) };
  }
}
