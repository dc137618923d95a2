import { randomUUID } from 'node:crypto';
import {
  type Clock,
  describeFailure,
  FailureKind,
  type PrefixStore,
  type Telemetry,
} from '@currantdrift/core';
import { controllerKey, encodeMember, type Member, type Members } from '../version/members';
import { SuspensionDetector } from './suspension-detector';

/** Time to live of the controller's key, and the interval between renewals, in ms. */
const ttlMs = 1_500;
const renewMs = 350;

/** Margin before the TTL ends in which no order is sent, in ms, because orders are in transit. */
const validityMarginMs = 150;

/** Delay per higher-ranked member before this one tries to create a missing key, in ms. */
const rankDelayMs = 150;
const pollMs = 100;

/** Longest interval between checks while another process is the controller, in ms. */
const maxControllerWatchMs = 2_000;

/** Time after its start in which a process may take part in the deployment's first start, in ms. */
const firstStartMs = 10_000;

/** Age up to which a resignation shortens the wait of the successor, in ms. */
const resignationLifetimeMs = 4_000;

/** A term of this process as the controller, in which it may send orders. */
export interface Term {
  /** Fencing token, which increases with each term. */
  readonly fence: number;
  /** Whether no process can have been the controller before. */
  readonly isFirst: boolean;
  /** Earliest time of the first order to an engine, on the steady clock, in ms. */
  readonly earliestOrderAt: (endpoint: string) => number;
}

/** Message of a controller whose term has ended and that sends no more orders. */
export interface Resignation {
  readonly fence: number;
  /** Age of the last order to each engine, in ms. */
  readonly orderAges: Readonly<Record<string, number>>;
}

export interface ControllerElectionOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  /** Time of day in ms; it may jump, and is used only to detect suspensions. */
  readonly timeOfDay: () => number;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  /** Shortest time between orders of two successive controllers to the same engine, in ms. */
  readonly holderPauseMs: number;
  readonly firstStart: boolean;
  /** Rank of this process among the members; lower ranks try first to create a missing key. */
  readonly rank: () => number;
  readonly onBegin: (term: Term) => void;
  /** Called when the term has ended and no more orders may be sent. */
  readonly onEnd: (fence: number) => void;
}

/** A term whose lease may have ended, though no other process has been the controller since. */
interface ExpiredTerm {
  readonly lease: string;
  readonly fence: number;
  /** Value of the key, which no other term has. */
  readonly value: Uint8Array;
}

interface HeldTerm extends ExpiredTerm {
  /** Time until which the term is known to be valid, on the steady clock, in ms. */
  validUntil: number;
  /** Time until which a term that may be invalid waits for confirmation by the store. */
  confirmUntil: number;
}

/**
 * Elects the controller through a leased key in the store, and renews the lease while this process is
 * the controller. A controller may be partitioned, suspended or lose its key without noticing. It
 * therefore considers its term valid only for the TTL after it sent the last successful renewal, and
 * detects suspensions; its successor waits that long before its first order.
 */
export class ControllerElection {
  private heldTerm: HeldTerm | undefined;

  private expiredTerm: ExpiredTerm | undefined;

  private vacantSince: number | undefined;

  private readonly resignations = new Map<number, { message: Resignation; at: number }>();

  private lastFence = 0;

  /** Renewals sent before this time are ignored: the host may have been suspended since. */
  private renewalsCountFrom = -Infinity;

  private readonly suspensions = SuspensionDetector.create();

  private readonly startedAt: number;

  private constructor(private readonly options: ControllerElectionOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: ControllerElectionOptions): ControllerElection {
    return new ControllerElection(options);
  }

  /** Whether an order may be sent now; called before each order. */
  mayOrder(now: number): boolean {
    this.checkSuspension(now);
    return this.heldTerm !== undefined && now < this.heldTerm.validUntil - validityMarginMs;
  }

  /** Records the resignation of another controller. */
  receiveResignation(message: Resignation): void {
    this.resignations.set(message.fence, { message, at: this.options.clock.now() });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.heldTerm !== undefined) await this.renew(this.heldTerm, signal);
      else if (this.expiredTerm !== undefined) await this.resume(this.expiredTerm, signal);
      else await this.contend(signal);
    }
    const { heldTerm } = this;
    this.endTerm('this process is stopping');
    // Removes the key at once, so that a successor need not wait for it to expire.
    if (heldTerm !== undefined) await this.options.store.revokeLease(heldTerm.lease);
  }

  /**
   * Resumes an expired term whose key still exists when the store responds again. No other process can
   * have been the controller since, so no waiting time applies to the engines. Rewriting the key gives the
   * term a new fencing token.
   */
  private async resume(expiredTerm: ExpiredTerm, signal: AbortSignal): Promise<void> {
    const { store, clock } = this.options;
    const renewed = this.hasSuccessor(expiredTerm)
      ? undefined
      : await store.renewLease(expiredTerm.lease);
    const isEnded =
      renewed === undefined || (renewed.isErr() && renewed.error.kind === FailureKind.refused);
    if (isEnded) {
      this.expiredTerm = undefined;
      if (renewed !== undefined) await this.resumeAfterRestore(expiredTerm);
      return;
    }
    if (renewed.isOk() && (await this.acquire(expiredTerm.fence))) {
      this.expiredTerm = undefined;
      store.revokeLease(expiredTerm.lease).catch(() => {});
      return;
    }
    await clock.sleep(pollMs, signal);
  }

  private hasSuccessor({ fence }: ExpiredTerm): boolean {
    const { members, self } = this.options;
    const { controller } = members;
    return controller !== undefined && controller.fence > fence && controller.host !== self.host;
  }

  /**
   * Resumes a term whose lease has ended because the store came back from a copy. If the copy holds the
   * key as this term wrote it, replacing it shows that no other process has had it since.
   */
  private async resumeAfterRestore({ fence, value }: ExpiredTerm): Promise<void> {
    const revision = await this.findWrittenRevision(value);
    if (revision !== undefined && revision > fence) await this.acquire(revision);
  }

  private async contend(signal: AbortSignal): Promise<void> {
    const { clock, members, rank } = this.options;
    const now = clock.now();
    if (members.controller !== undefined) {
      this.lastFence = Math.max(this.lastFence, members.controller.fence);
      this.vacantSince = undefined;
      await this.awaitControllerChange(signal);
      return;
    }
    this.vacantSince ??= now;
    const dueAt = this.vacantSince + rank() * rankDelayMs;
    if (now < dueAt) {
      await clock.sleep(Math.min(pollMs, dueAt - now), signal);
      return;
    }
    if (!(await this.acquire())) await clock.sleep(pollMs, signal);
  }

  /** Waits until the controller changes, at most `maxControllerWatchMs`. */
  private async awaitControllerChange(signal: AbortSignal): Promise<void> {
    const done = new AbortController();
    const stopListening = this.options.members.onControllerChange(() => done.abort());
    await this.options.clock.sleep(maxControllerWatchMs, AbortSignal.any([signal, done.signal]));
    stopListening();
  }

  /**
   * Tries to create the key, or to replace this process's own key of revision `from`; returns whether this
   * process is the controller afterwards.
   */
  private async acquire(from = 0): Promise<boolean> {
    const { store, self, telemetry } = this.options;
    const sentAt = this.options.clock.now();
    const lease = await store.grantLease(ttlMs);
    if (lease.isErr()) return false;
    const { id } = lease.value;
    const value = encodeMember({ ...self, nonce: randomUUID() } as Member);
    const swap = await store.compareAndSwap(controllerKey, from, value, id);
    const revision = swap.isOk()
      ? swap.value.kind === 'swapped' && swap.value.revision
      : swap.error.kind === FailureKind.unknown && (await this.findWrittenRevision(value));
    if (revision === false || revision === undefined) {
      this.vacantSince = undefined;
      await store.revokeLease(id);
      return false;
    }
    this.heldTerm = {
      lease: id,
      fence: revision,
      value,
      validUntil: sentAt + lease.value.ttlMs,
      confirmUntil: -Infinity,
    };
    const term =
      from === 0
        ? this.createTerm(revision, lease.value.ttlMs)
        : { fence: revision, isFirst: false, earliestOrderAt: () => this.options.clock.now() };
    telemetry.log('controller.begin', { fence: revision, before: this.lastFence });
    this.options.onBegin(term);
    return true;
  }

  /** Revision of the key if its value is `value`; called after a write whose response was lost. */
  private async findWrittenRevision(value: Uint8Array): Promise<number | undefined> {
    const listing = await this.options.store.listing(controllerKey);
    if (listing.isErr()) return undefined;
    return listing.value.entries.find((entry) => Buffer.compare(entry.value, value) === 0)
      ?.revision;
  }

  private createTerm(fence: number, predecessorTtlMs: number): Term {
    const { holderPauseMs, firstStart } = this.options;
    const now = this.options.clock.now();
    const isFirst = firstStart && this.lastFence === 0 && now - this.startedAt < firstStartMs;
    if (isFirst) return { fence, isFirst, earliestOrderAt: () => now };
    const resignation = this.resignations.get(this.lastFence);
    // After an old resignation, its sender's successor may have begun and ended a term unnoticed.
    if (resignation === undefined || now - resignation.at > resignationLifetimeMs) {
      const until = now + predecessorTtlMs + holderPauseMs;
      return { fence, isFirst, earliestOrderAt: () => until };
    }
    const { message, at } = resignation;
    return {
      fence,
      isFirst,
      earliestOrderAt: (endpoint) => {
        const age = message.orderAges[endpoint];
        return age === undefined ? now : Math.max(now, at - age + holderPauseMs);
      },
    };
  }

  /** Sends renewals at a fixed interval, whether or not the store responds. */
  private async renew(heldTerm: HeldTerm, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const now = clock.now();
    const suspended = this.checkSuspension(now);
    // After a suspension only a response of the store can tell whether the term is still valid.
    if (
      !suspended &&
      now >= heldTerm.validUntil - validityMarginMs &&
      now >= heldTerm.confirmUntil
    ) {
      this.endTerm('the lease expired without a successful renewal');
      this.expiredTerm = heldTerm;
      return;
    }
    if (this.hasSuccessor(heldTerm)) {
      this.endTerm('another process is the controller');
      return;
    }
    this.sendRenewal(heldTerm, now).catch(() => {});
    await clock.sleep(renewMs, signal);
  }

  private async sendRenewal(heldTerm: HeldTerm, sentAt: number): Promise<void> {
    const { store, clock, telemetry } = this.options;
    const renewed = await store.renewLease(heldTerm.lease);
    if (this.heldTerm !== heldTerm) return;
    const term = heldTerm;
    if (renewed.isOk()) {
      this.checkSuspension(clock.now());
      if (sentAt < this.renewalsCountFrom) return;
      term.validUntil = Math.max(term.validUntil, sentAt + renewed.value.ttlMs);
      return;
    }
    telemetry.log('controller.renewal', {
      fence: heldTerm.fence,
      reason: describeFailure(renewed.error),
      leftMs: Math.round(heldTerm.validUntil - clock.now()),
    });
    if (renewed.error.kind !== FailureKind.refused) return;
    this.endTerm('the store refused to renew the lease');
    this.expiredTerm = heldTerm;
  }

  /** After a suspension, treats the term as invalid until the store has confirmed it again. */
  private checkSuspension(now: number): boolean {
    if (!this.suspensions.check(this.options.timeOfDay(), now)) return false;
    this.options.telemetry.log('suspension', { fence: this.heldTerm?.fence });
    this.renewalsCountFrom = now;
    if (this.heldTerm !== undefined) {
      this.heldTerm.validUntil = -Infinity;
      this.heldTerm.confirmUntil = now + ttlMs;
    }
    return true;
  }

  private endTerm(reason: string): void {
    const { heldTerm } = this;
    if (heldTerm === undefined) return;
    this.heldTerm = undefined;
    this.vacantSince = undefined;
    this.lastFence = heldTerm.fence;
    this.options.telemetry.log('controller.end', { fence: heldTerm.fence, reason });
    this.options.onEnd(heldTerm.fence);
  }
}
