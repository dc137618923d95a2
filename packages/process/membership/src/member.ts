import { type Fact, FactPrefix } from './fact';

/** Status of a member, in the order in which one outranks the other at the same incarnation. */
export const MemberStatus = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead',
  left: 'left',
} as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

const statuses = Object.values(MemberStatus);

/** A daemon of the domain. */
export interface Member {
  /** Name of its host. */
  readonly name: string;
  /** `ip:port` for peers. */
  readonly address: string;
  /** `ip:port` for operators. */
  readonly operatorAddress: string;
  readonly domain: string;
  /** Rises with each start, with each change of `state` and with each refuted suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
  /** Small value that the member sets; membership does not read it. */
  readonly state: unknown;
}

export const memberKey = (name: string): string => `${FactPrefix.member}${name}`;

export const memberFact = (member: Member): Fact => ({
  key: memberKey(member.name),
  rank: [member.incarnation, statuses.indexOf(member.status)],
  value: [member.address, member.operatorAddress, member.domain, member.state],
});

/** Reads a member; undefined if the fact is malformed. */
export const readMember = (fact: Fact): Member | undefined => {
  const [incarnation, statusRank] = fact.rank;
  const status = statuses[statusRank];
  if (!Array.isArray(fact.value) || status === undefined) return undefined;
  const [address, operatorAddress, domain, state] = fact.value as unknown[];
  const texts = [address, operatorAddress, domain];
  if (!texts.every((text) => typeof text === 'string')) return undefined;
  return {
    name: fact.key.slice(FactPrefix.member.length),
    address: address as string,
    operatorAddress: operatorAddress as string,
    domain: domain as string,
    incarnation,
    status,
    state,
  };
};
