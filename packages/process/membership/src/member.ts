import { type Fact, FactPrefix } from './fact';

/** Status of a member; at the same incarnation a later one in this list takes precedence. */
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
  /** Host name. */
  readonly name: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  /** Operator address, `ip:port`. */
  readonly operatorAddress: string;
  readonly domain: string;
  /** Increases with each start, each change of `state` and each refuted suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
  /** Small application-defined value; membership does not interpret it. */
  readonly state: unknown;
}

export const memberKey = (name: string): string => `${FactPrefix.member}${name}`;

export const memberFact = (member: Member): Fact => ({
  key: memberKey(member.name),
  rank: [member.incarnation, statuses.indexOf(member.status)],
  value: [member.address, member.operatorAddress, member.domain, member.state],
});

/** Parses a member; undefined if the fact is malformed. */
export const readMember = (fact: Fact): Member | undefined => {
  const [incarnation, statusRank] = fact.rank;
  const status = statuses[statusRank];
  if (!Array.isArray(fact.value) || status === undefined) return undefined;
  const [address, operatorAddress, domain, state] = fact.value as unknown[];
  const addresses = [address, operatorAddress, domain];
  if (!addresses.every((text) => typeof text === 'string')) return undefined;
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
