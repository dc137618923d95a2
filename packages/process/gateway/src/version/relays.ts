import { membersByRolePriority } from './role-priority';
import type { Member } from './members';

/** Number of relays in each failure domain; with two, the failure of one is tolerated. */
export const relaysPerDomain = 2;

/**
 * Members of a failure domain that receive messages from the watchers and the controller and forward them
 * to the others. Watchers and the controller send to the relays only, so that their messages to other
 * domains do not grow with the number of daemons there.
 */
export const relaysOf = (members: readonly Member[], domain: string): readonly Member[] =>
  membersByRolePriority(
    `relays ${domain}`,
    members.filter((member) => member.domain === domain),
  ).slice(0, relaysPerDomain);
