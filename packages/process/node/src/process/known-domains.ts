import type { BundleHolder } from '@currantdrift/bundle';
import type { DomainView, Random } from '@currantdrift/core';
import type { DomainSummaries } from '@currantdrift/membership';
import { allotment } from '@currantdrift/placement';
import type { DomainOption } from '@currantdrift/routing';
import type { DomainDirectory } from './domain-directory';

export interface KnownDomainsOptions {
  readonly own: { readonly name: string; readonly region: string };
  readonly holder: BundleHolder;
  readonly summaries: DomainSummaries;
  readonly view: DomainView;
  readonly random: Random;
}

/** Combines the bundle's list of domains with the summaries that the relays exchange. */
export class KnownDomains implements DomainDirectory {
  private constructor(private readonly parts: KnownDomainsOptions) {}

  static create(parts: KnownDomainsOptions): KnownDomains {
    return new KnownDomains(parts);
  }

  domainOptions(itemName: string, itemKey: string): readonly DomainOption[] {
    const { holder, own, summaries, view } = this.parts;
    const bundle = holder.current;
    const limit = bundle?.item(itemName)?.replicas ?? 0;
    const domains = bundle?.bundle.domains ?? [];
    return domains.map(({ name, region }) => {
      const isOwn = name === own.name;
      return {
        name,
        region,
        warm: isOwn ? view.replicas(itemKey).length > 0 : summaries.isWarm(name, itemKey),
        allotment: allotment(itemName, limit, name, domains),
        reachable: isOwn || summaries.summary(name)?.isFresh === true,
      };
    });
  }

  reachableOtherDomains(): readonly string[] {
    const { holder, own, summaries } = this.parts;
    return (holder.current?.bundle.domains ?? [])
      .filter(({ name }) => name !== own.name && summaries.summary(name)?.isFresh === true)
      .sort((a, b) => Number(b.region === own.region) - Number(a.region === own.region))
      .map(({ name }) => name);
  }

  /** Rotates the list by a random offset to spread forwarded requests over the domain's daemons. */
  entryAddresses(domain: string): readonly string[] {
    const entries = this.parts.summaries.summary(domain)?.entries ?? [];
    const first = Math.floor(this.parts.random.next() * entries.length);
    return [...entries.slice(first), ...entries.slice(0, first)];
  }
}
