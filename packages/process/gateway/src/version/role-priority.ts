import { rendezvousOrder } from '@currantdrift/core';
import type { Member } from './members';

/** Part of the largest host's processor time from which a host counts as large. */
const largeHostShare = 0.6;

/**
 * Members in the order in which they take a duty that only some carry. Answers the load pattern
 * "hosts differ in size": a duty that fills a small host's processor goes to a large one. Hosts of
 * similar size are ordered by a hash, so that different duties fall to different ones.
 */
export const membersByRolePriority = (
  duty: string,
  members: readonly Member[],
): readonly Member[] => {
  const largest = Math.max(...members.map(({ processors }) => processors));
  const byHost = new Map(members.map((member) => [member.host, member]));
  const ordered = rendezvousOrder(duty, [...byHost.keys()]).flatMap(
    (host) => byHost.get(host) ?? [],
  );
  const isLarge = ({ processors }: Member) => processors >= largeHostShare * largest;
  return [...ordered.filter(isLarge), ...ordered.filter((member) => !isLarge(member))];
};
