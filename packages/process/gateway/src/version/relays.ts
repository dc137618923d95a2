import { membersByRolePriority } from './role-priority';
import type { Member } from './members';

/** Members of each failure domain that pass messages on there; two, so that one may fail unnoticed. */
export const relaysPerDomain = 2;

/**
 * Members of a failure domain that hear from the watchers and from the controller and tell the others.
 * Answers the load pattern "many daemons in other domains": a watcher and the controller send to the
 * relays, not to all daemons.
 */
export const relaysOf = (members: readonly Member[], domain: string): readonly Member[] =>
  membersByRolePriority(
    `relays ${domain}`,
    members.filter((member) => member.domain === domain),
  ).slice(0, relaysPerDomain);
