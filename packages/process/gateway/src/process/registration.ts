import {
  type Clock,
  describeFailure,
  type Failure,
  type PrefixStore,
  type Telemetry,
} from '@currantdrift/core';
import { encodeMember, type Member, memberPrefix } from '../version/members';

/** Time to live of a member's key, interval between renewals, and retry delay, in ms. */
const ttlMs = 9_000;
const renewMs = 3_000;
const retryMs = 500;

export interface RegistrationOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly member: Member;
  /** Called when the key of an earlier process on this host, which had not expired, was replaced. */
  readonly onReplaced?: () => void;
}

/** Keeps this process registered in the store under a leased member key. */
export class Registration {
  private lease: string | undefined;

  /** Whether this process has tried to write the key before, so that a key may be its own. */
  private hasWritten = false;

  private constructor(private readonly options: RegistrationOptions) {}

  static create(options: RegistrationOptions): Registration {
    return new Registration(options);
  }

  /** Registers and renews until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const held = this.lease === undefined ? await this.register() : await this.renew(this.lease);
      await clock.sleep(held ? renewMs : retryMs, signal);
    }
  }

  /** Removes the key; called when the process stops. */
  async leave(): Promise<void> {
    if (this.lease === undefined) return;
    const ended = await this.options.store.revokeLease(this.lease);
    if (ended.isErr()) this.failed('leave', ended.error);
  }

  private async register(): Promise<boolean> {
    const { store, member } = this.options;
    const lease = await store.grantLease(ttlMs);
    if (lease.isErr()) return this.failed('lease', lease.error);
    const key = memberPrefix + member.host;
    const value = encodeMember(member);
    let written = await store.compareAndSwap(key, 0, value, lease.value.id);
    const isConflict = written.isOk() && written.value.kind === 'conflict';
    const isReplacement = isConflict && !this.hasWritten;
    this.hasWritten = true;
    if (written.isOk() && written.value.kind === 'conflict') {
      // An earlier process on this host left its key behind; replace it.
      const revision = written.value.current?.revision ?? 0;
      written = await store.compareAndSwap(key, revision, value, lease.value.id);
    }
    if (written.isErr()) return this.failed('write', written.error);
    if (written.value.kind === 'conflict') return false;
    this.lease = lease.value.id;
    if (isReplacement) this.options.onReplaced?.();
    return true;
  }

  private async renew(lease: string): Promise<boolean> {
    const renewed = await this.options.store.renewLease(lease);
    if (renewed.isOk()) return true;
    if (renewed.error.kind === 'refused') this.lease = undefined;
    return this.failed('renewal', renewed.error);
  }

  private failed(call: string, failure: Failure): false {
    const reason = describeFailure(failure);
    this.options.telemetry.log('registration.failed', { call, reason });
    return false;
  }
}
