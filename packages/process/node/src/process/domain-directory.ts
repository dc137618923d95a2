import type { DomainOption } from '@currantdrift/routing';

/** What a daemon knows of all failure domains. */
export interface DomainDirectory {
  /** The domains of the bundle as places for an item, the own domain included. */
  options(itemName: string, itemKey: string): readonly DomainOption[];
  /** Names of the other domains with a daemon that can be reached, nearest first. */
  others(): readonly string[];
  /** Peer addresses of entry daemons of another domain, in the order in which to try them. */
  entryAddresses(domain: string): readonly string[];
}
