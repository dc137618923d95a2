import { rendezvousOrder } from '@currantdrift/core';
import type { Member } from './members';

/** A host counts as large if it has at least this share of the largest host's processor time. */
const largeHostShare = 0.6;

/**
 * Sorts members by their priority for a role that only some of them fill. Large hosts come first,
 * because a role can take all processor time of a small host. Hosts of similar size are ordered by
 * rendezvous hashing, so that different roles go to different hosts.
 */
export const membersByRolePriority = (
  role: string,
  members: readonly Member[],
): readonly Member[] => {
  const largest = Math.max(...members.map(({ processors }) => processors));
  const byHost = new Map(members.map((member) => [member.host, member]));
  const ordered = rendezvousOrder(role, [...byHost.keys()]).flatMap(
    (host) => byHost.get(host) ?? [],
  );
  const isLarge = ({ processors }: Member) => processors >= largeHostShare * largest;
  return [...ordered.filter(isLarge), ...ordered.filter((member) => !isLarge(member))];
};
