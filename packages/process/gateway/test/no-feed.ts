import { StoreCalls } from '../src/process/store-calls';
import type { Feed } from '../src/process/feed';

/** A feed without other members: the follower always reads the store itself. */
export const noFeed = (): Feed => ({
  calls: StoreCalls.create(),
  maxFeedAgeMs: () => 0,
  storeResponded: () => {},
  failed: () => {},
  mayCallStore: () => true,
  maxRetryDelayMs: () => 800,
  passOn: () => {},
  snapshot: () => Promise.resolve(undefined),
});
