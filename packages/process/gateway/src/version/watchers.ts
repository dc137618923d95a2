import { membersByRolePriority } from './role-priority';
import type { Member } from './members';

/** Members of the fleet that follow the store; two, so that one may fail unnoticed. */
export const watcherCount = 2;

/**
 * Members that follow the store for the whole fleet, in different failure domains if there are several.
 * Answers the load pattern "many daemons wait for the same changes": the calls to the store grow neither
 * with the daemons nor with the failure domains.
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
