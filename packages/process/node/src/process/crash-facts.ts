import type { Clock } from '@currantdrift/core';
import type { Fact, Membership } from '@currantdrift/membership';
import {
  type ClearedParts,
  clearedPartsSchema,
  type CrashReport,
  crashReportSchema,
  type CrashWatch,
} from '@currantdrift/quarantine';
import { z } from 'zod';

/** Prefix of the gossip keys under which each daemon tells what it saw of crashed engines. */
const crashPrefix = 'k/';

/** Reports and cleared parts that a daemon repeats for those that join later. */
const maxReports = 16;
const maxCleared = 16;

const numberedSchema = clearedPartsSchema.extend({
  /** Increases with each entry of a daemon's process. */
  number: z.number(),
});

const valueSchema = z.object({
  crashes: z.array(crashReportSchema).max(maxReports),
  cleared: z.array(numberedSchema).max(maxCleared),
});

const maxNameLength = 200;

export const crashFactSchema = z.object({
  domain: z.string().min(1).max(maxNameLength),
  daemon: z.string().min(1).max(maxNameLength),
  /** Incarnation of the daemon and number of its fact; the highest is the newest. */
  rank: z.tuple([z.number(), z.number()]),
  value: valueSchema,
});

/** What one daemon saw of crashed engines. */
export type CrashFact = z.infer<typeof crashFactSchema>;

/** Exchanges what the daemons of a domain see of crashed engines, by facts that joining daemons get too. */
export class CrashFacts {
  private sequence = 0;

  private crashes: CrashReport[] = [];

  private cleared: z.infer<typeof numberedSchema>[] = [];

  /** Number of the last cleared parts that were applied, by daemon and incarnation. */
  private readonly applied = new Map<string, number>();

  private readonly listeners: ((fact: CrashFact) => void)[] = [];

  private constructor(
    private readonly membership: Membership,
    private readonly clock: Clock,
  ) {}

  static create(membership: Membership, clock: Clock): CrashFacts {
    return new CrashFacts(membership, clock);
  }

  /** Calls `listener` with each fact that this daemon publishes. */
  onPublish(listener: (fact: CrashFact) => void): void {
    this.listeners.push(listener);
  }

  /** Publishes in this domain what a daemon of another one saw. */
  publishRemote({ domain, daemon, rank, value }: CrashFact): void {
    if (domain === this.membership.self.domain) return;
    this.membership.publish({ key: `${crashPrefix}${domain}/${daemon}`, rank, value }, true);
  }

  /** Passes what other daemons tell to `watch`. */
  subscribe(watch: CrashWatch): void {
    this.membership.dissemination.table.subscribe(crashPrefix, (fact) => this.receive(fact, watch));
  }

  publishCrash(report: CrashReport): void {
    this.crashes = [...this.crashes, report].slice(-maxReports);
    this.publish();
  }

  publishCleared(cleared: ClearedParts): void {
    const number = this.sequence + 1;
    this.cleared = [...this.cleared, { ...cleared, number }].slice(-maxCleared);
    this.publish();
  }

  private publish(): void {
    this.sequence += 1;
    const { name, domain, incarnation } = this.membership.self;
    const value = { crashes: this.crashes, cleared: this.cleared };
    const rank: CrashFact['rank'] = [incarnation, this.sequence];
    this.membership.publish({ key: `${crashPrefix}${name}`, rank, value }, true);
    this.listeners.forEach((listener) => listener({ domain, daemon: name, rank, value }));
  }

  private receive({ key, rank, value }: Fact, watch: CrashWatch): void {
    if (key === `${crashPrefix}${this.membership.self.name}`) return;
    const parsed = valueSchema.safeParse(value);
    if (!parsed.success) return;
    const now = this.clock.now();
    const { crashes, cleared } = parsed.data;
    crashes.forEach((report) => watch.receiveCrash(report, now));
    const source = `${key}@${rank[0]}`;
    const last = this.applied.get(source) ?? 0;
    cleared.filter(({ number }) => number > last).forEach((one) => watch.receiveCleared(one, now));
    this.applied.set(source, Math.max(last, ...cleared.map(({ number }) => number)));
  }
}
