import type { Member, Membership } from '@currantdrift/membership';

/** Roles that a daemon publishes in its member state. */
export interface Roles {
  /** Epoch of the domain's lease that the daemon holds as controller; 0 if it holds none. */
  readonly epoch: number;
  /** Whether the daemon watches the bundle head and the store responds. */
  readonly relays: boolean;
}

const noRoles: Roles = { epoch: 0, relays: false };

/** Reads a member's roles from its state; missing fields get defaults. */
export const rolesOf = (member: Member): Roles => {
  const state = member.state as Partial<Roles> | null;
  return { epoch: Number(state?.epoch ?? 0), relays: state?.relays === true };
};

/** Tracks this daemon's roles and publishes them to the domain when they change. */
export class MemberState {
  private roles = noRoles;

  private constructor(private readonly membership: Membership) {}

  static create(membership: Membership): MemberState {
    return new MemberState(membership);
  }

  update(change: Partial<Roles>): void {
    const next = { ...this.roles, ...change };
    if (next.epoch === this.roles.epoch && next.relays === this.roles.relays) return;
    this.roles = next;
    this.membership.setState(next);
  }
}
