import { type BundleDomain, modelOf, rendezvousOrder } from '@currantdrift/core';

/**
 * Number of replicas of an item that `domain` may hold when the limit over all domains is `limit`.
 * Slots are assigned round-robin to the founding domains in the item's rendezvous order, so the
 * result never decreases when the limit increases, and the allotments of all domains add up to the
 * limit. A domain that is unknown or was added later gets none. An adapter uses the order of its
 * model, so that no domain gets a slot of an adapter without one of the model.
 *
 * @param item name without version; all versions of an item share its slots
 */
export const allotment = (
  item: string,
  limit: number,
  domain: string,
  domains: readonly BundleDomain[],
): number => {
  const founding = domains.filter((candidate) => candidate.founding).map(({ name }) => name);
  const position = rendezvousOrder(modelOf(item), founding).indexOf(domain);
  if (position < 0 || limit <= 0) return 0;
  return Math.floor(limit / founding.length) + (position < limit % founding.length ? 1 : 0);
};
