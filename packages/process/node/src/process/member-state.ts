import type { Member, Membership } from '@currantdrift/membership';
import { z } from 'zod';
import type { KnownEra } from './restore-tracker';

/** Roles that a daemon publishes in its member state. */
export interface Roles {
  /** Epoch of the domain's lease that the daemon holds as controller; 0 if it holds none. */
  readonly epoch: number;
  /** Whether the daemon watches the bundle head and the store responds. */
  readonly relays: boolean;
}

/** What a daemon publishes to its domain. */
interface PublishedState extends Roles {
  /** The store's era, once it has come back from a copy. */
  readonly storeEra?: KnownEra;
}

const eraSchema = z.object({
  storeEra: z.object({ era: z.int().nonnegative(), since: z.number().nonnegative() }),
});

/** Reads a member's roles from its state; missing fields get defaults. */
export const rolesOf = (member: Member): Roles => {
  const state = member.state as Partial<Roles> | null;
  return { epoch: Number(state?.epoch ?? 0), relays: state?.relays === true };
};

/** Reads the store's era from a member's state; undefined if it states none. */
export const storeEraOf = (member: Member): KnownEra | undefined =>
  eraSchema.safeParse(member.state).data?.storeEra;

/** Tracks what this daemon publishes to its domain, and publishes it when it changes. */
export class MemberState {
  private published: PublishedState = { epoch: 0, relays: false };

  private constructor(private readonly membership: Membership) {}

  static create(membership: Membership): MemberState {
    return new MemberState(membership);
  }

  update(change: Partial<PublishedState>): void {
    const next = { ...this.published, ...change };
    const isSame =
      next.epoch === this.published.epoch &&
      next.relays === this.published.relays &&
      next.storeEra?.era === this.published.storeEra?.era &&
      next.storeEra?.since === this.published.storeEra?.since;
    if (isSame) return;
    this.published = next;
    this.membership.setState(next);
  }
}
