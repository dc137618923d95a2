import { dutyOrder } from './duty-order';
import type { Member } from './members';

/** Members of each failure domain that follow the store; two, so that one may fail unnoticed. */
export const watchersPerDomain = 2;

/**
 * Members of a failure domain that follow the store and pass what they read on to the others. Answers
 * the load pattern "many daemons wait for the same changes": the calls to the store grow with the
 * domains, not with the daemons.
 */
export const watchersOf = (members: readonly Member[], domain: string): readonly Member[] =>
  dutyOrder(
    `watchers ${domain}`,
    members.filter((member) => member.domain === domain),
  ).slice(0, watchersPerDomain);
