import type { Feed } from '../src/process/prefix-follower';

/** A feed without watchers: the follower asks the store itself. */
export const noFeed: Feed = {
  lifetimeMs: () => 0,
  confirmed: () => {},
  failed: () => {},
  mayAsk: () => true,
  retryLimitMs: () => 800,
  passOn: () => {},
  snapshot: () => Promise.resolve(undefined),
};
