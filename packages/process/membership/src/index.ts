export {
  EndpointDirectory,
  type EndpointDirectoryOptions,
  type EndpointListener,
} from './endpoint-directory';
export { type Fact, FactPrefix, type Rank, type WireFact } from './fact';
export { FactTable } from './fact-table';
export { type Member, MemberStatus } from './member';
export { Membership, type MemberListener, type MembershipOptions, type Self } from './membership';
export { defaultMembershipSettings, type MembershipSettings } from './membership-settings';
export type { ReconnectablePeers } from './reconnectable-peers';
export { Dissemination, type DisseminationOptions } from './dissemination';
export { Watchers, type ReportListener, type WatchersOptions } from './watchers';
export {
  EndpointWatcher,
  type EndpointWatcherOptions,
  type WatcherOutput,
} from './endpoint-watcher';
export {
  type DomainContact,
  DomainLinks,
  type DomainLinksOptions,
  selectRelays,
} from './domain-links';
export { DomainSummaries, type DomainSummary } from './domain-summaries';
export {
  measureMembership,
  type MeasuredCost,
  type MeasuredPeers,
  type MeasureOptions,
} from './bench/measure';
