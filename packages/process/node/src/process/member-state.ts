import type { Member, Membership } from '@currantdrift/membership';

/** What a daemon says of its roles in its member state. */
export interface Roles {
  /** Epoch in which it holds the domain; 0 if it does not. */
  readonly epoch: number;
  /** It watches the head of the bundles and the store answers. */
  readonly relays: boolean;
}

const noRoles: Roles = { epoch: 0, relays: false };

/** Roles of a member. */
export const rolesOf = (member: Member): Roles => {
  const state = member.state as Partial<Roles> | null;
  return { epoch: Number(state?.epoch ?? 0), relays: state?.relays === true };
};

/** The roles of this daemon, announced to the domain when they change. */
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
