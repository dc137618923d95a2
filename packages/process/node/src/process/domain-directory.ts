import type { DomainOption } from '@currantdrift/routing';

/** A daemon's information about all failure domains. */
export interface DomainDirectory {
  /** All domains of the bundle, including the daemon's own, as routing options for an item. */
  domainOptions(itemName: string, itemKey: string): readonly DomainOption[];
  /** Names of other domains with a reachable daemon, those of the same region first. */
  reachableOtherDomains(): readonly string[];
  /** Peer addresses of another domain's entry daemons, in the order in which to try them. */
  entryAddresses(domain: string): readonly string[];
}
