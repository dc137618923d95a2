import { membersByRolePriority } from './role-priority';
import type { Member } from './members';

/** Number of watchers in the fleet; with two, the failure of one is tolerated. */
export const watcherCount = 2;

/**
 * Members that read changes from the store on behalf of the whole fleet, in different failure domains if
 * there are several. The number of calls to the store therefore grows neither with the number of daemons
 * nor with the number of failure domains.
 */
export const watchersOf = (members: readonly Member[]): readonly Member[] => {
  const order = membersByRolePriority('watchers', members);
  const [first] = order;
  if (first === undefined) return [];
  const otherDomains = order.filter(({ domain }) => domain !== first.domain);
  const sameDomain = order.filter(
    ({ domain, host }) => domain === first.domain && host !== first.host,
  );
  return [first, ...otherDomains, ...sameDomain].slice(0, watcherCount);
};
