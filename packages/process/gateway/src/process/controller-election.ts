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

/** Time to live of the controller's key, and the pause between two renewals, in ms. */
const ttlMs = 1_500;
const renewMs = 350;

/** Part of the ttl that is not used, in ms: an order is on its way for a while. */
const validityMarginMs = 150;

/** Pause before an absent key is taken, for each member that goes before this one, in ms. */
const rankDelayMs = 150;
const pollMs = 100;

/** Longest pause between two looks while another process is the controller, in ms. */
const maxControllerWatchMs = 2_000;

/** Age of a process up to which it may be part of the deployment's first start, in ms. */
const firstStartMs = 10_000;

/** Age up to which a holder's last message shortens the wait of its successor, in ms. */
const resignationLifetimeMs = 4_000;

/** The right to give orders, held for one term. */
export interface Term {
  /** Rises with each term. */
  readonly fence: number;
  /** Whether no process can have held the right before. */
  readonly isFirst: boolean;
  /** Earliest time of the first order to an engine, on the steady clock, in ms. */
  readonly earliestOrderAt: (endpoint: string) => number;
}

/** Last message of a holder that gives no more orders. */
export interface Resignation {
  readonly fence: number;
  /** Age of the last order to each engine, in ms. */
  readonly orderAges: Readonly<Record<string, number>>;
}

export interface ControllerElectionOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  /** Time of day in ms; it may jump, and serves only to notice suspensions. */
  readonly timeOfDay: () => number;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  /** Shortest time between orders of two holders to one engine, in ms. */
  readonly holderPauseMs: number;
  readonly firstStart: boolean;
  /** Position among the members in the order in which they take an absent key. */
  readonly rank: () => number;
  readonly onBegin: (term: Term) => void;
  /** Called once no more orders may be given. */
  readonly onEnd: (fence: number) => void;
}

/** A term that ran out while the store did not answer. */
interface ExpiredTerm {
  readonly lease: string;
  readonly fence: number;
}

interface HeldTerm {
  readonly lease: string;
  readonly fence: number;
  /** End of the belief in the term, on the steady clock, in ms. */
  validUntil: number;
  /** Time until which a term that is not believed in waits for the store's word. */
  confirmUntil: number;
}

/**
 * Takes the right to give orders when nobody holds it, and keeps it. Answers the fault pattern
 * "a holder is cut off, suspended or deprived of its key, and does not know it": the holder
 * trusts its term only until the ttl after it sent its last good renewal, by a clock that counts
 * suspensions; the successor waits that long before its first order.
 */
export class ControllerElection {
  private heldTerm: HeldTerm | undefined;

  private expiredTerm: ExpiredTerm | undefined;

  private vacantSince: number | undefined;

  private readonly resignations = new Map<number, { message: Resignation; at: number }>();

  private lastFence = 0;

  /** Renewals sent before this time prove nothing: the host may have been suspended since. */
  private renewalsCountFrom = -Infinity;

  private readonly suspensions = SuspensionDetector.create();

  private readonly startedAt: number;

  private constructor(private readonly options: ControllerElectionOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: ControllerElectionOptions): ControllerElection {
    return new ControllerElection(options);
  }

  /** Whether an order may be sent now; read before each order. */
  mayOrder(now: number): boolean {
    this.checkSuspension(now);
    return this.heldTerm !== undefined && now < this.heldTerm.validUntil - validityMarginMs;
  }

  /** Takes the last message of a holder. */
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
    this.endTerm('this process stops');
    // The key goes at once, so that a successor need not wait for its expiry.
    if (heldTerm !== undefined) await this.options.store.revokeLease(heldTerm.lease);
  }

  /**
   * Takes up a term again whose key is still there when the store answers: nobody else can have held
   * the right since, so no engine need be left alone. The new key gives the term a new token.
   */
  private async resume(expiredTerm: ExpiredTerm, signal: AbortSignal): Promise<void> {
    const { store, clock, members } = this.options;
    const hasSuccessor =
      members.controller !== undefined && members.controller.fence > expiredTerm.fence;
    const renewed = hasSuccessor ? undefined : await store.renewLease(expiredTerm.lease);
    if (renewed === undefined || (renewed.isErr() && renewed.error.kind === 'refused')) {
      this.expiredTerm = undefined;
      return;
    }
    if (renewed.isOk() && (await this.acquire(expiredTerm.fence))) {
      this.expiredTerm = undefined;
      store.revokeLease(expiredTerm.lease).catch(() => {});
      return;
    }
    await clock.sleep(pollMs, signal);
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

  /** Waits until another process is the controller, or none is. */
  private async awaitControllerChange(signal: AbortSignal): Promise<void> {
    const done = new AbortController();
    const stopListening = this.options.members.onController(() => done.abort());
    await this.options.clock.sleep(maxControllerWatchMs, AbortSignal.any([signal, done.signal]));
    stopListening();
  }

  /**
   * Tries to create the key, or to replace its own one of revision `from`; true if this process holds
   * it then.
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

  /** Revision of the key if it holds `value`, after a write whose answer was lost. */
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
    // An old message may not be the last: its sender's successor may have come and gone unseen.
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

  /** Sends renewals at a fixed pace, whether or not the store answers them. */
  private async renew(heldTerm: HeldTerm, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const now = clock.now();
    const suspended = this.checkSuspension(now);
    // After a suspension only an answer of the store tells whether the term goes on.
    if (
      !suspended &&
      now >= heldTerm.validUntil - validityMarginMs &&
      now >= heldTerm.confirmUntil
    ) {
      this.endTerm('the term ran out');
      this.expiredTerm = { lease: heldTerm.lease, fence: heldTerm.fence };
      return;
    }
    const { controller } = this.options.members;
    if (controller !== undefined && controller.fence > heldTerm.fence) {
      this.endTerm('another process holds the right');
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
    if (renewed.error.kind === 'refused') this.endTerm('the store says that it has ended');
  }

  /** Ends the belief in the term until the store has confirmed it again. */
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
