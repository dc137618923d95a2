import { type Fact, FactPrefix } from './fact';
import type { Dissemination } from './dissemination';

/** Last known state of another domain. */
export interface DomainSummary {
  readonly domain: string;
  readonly bundleVersion: number;
  /** Free accelerator memory, 0 (none) to 8 (all). */
  readonly spareLevel: number;
  /** Peer addresses of daemons that accept forwarded requests. */
  readonly entries: readonly string[];
  /** False if no relay of the local domain receives messages from the domain any more. */
  readonly isFresh: boolean;
}

/** Wire form of a summary without the warm items. */
export type SummaryHeader = readonly [
  bundleVersion: number,
  spareLevel: number,
  entries: readonly string[],
];

type SummaryListener = (domain: string) => void;

export const warmKey = (domain: string, item: string): string =>
  `${FactPrefix.warm}${domain}/${item}`;

const parseWarmKey = (key: string): { domain: string; item: string } => {
  const rest = key.slice(FactPrefix.warm.length);
  const slash = rest.indexOf('/');
  return { domain: rest.slice(0, slash), item: rest.slice(slash + 1) };
};

/** Reads the header of a summary; undefined if it is malformed. */
export const readHeader = (value: unknown): SummaryHeader | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [version, spare, entries] = value as unknown[];
  if (typeof version !== 'number' || typeof spare !== 'number' || !Array.isArray(entries)) {
    return undefined;
  }
  return [version, spare, entries.filter((entry) => typeof entry === 'string')];
};

interface WarmItem {
  readonly isWarm: boolean;
  /** Epoch of the sender's list that named the item; see `DomainLinks`. */
  readonly epoch: number;
}

/** Summaries of the other domains, as published by the relays of the local domain. */
export class DomainSummaries {
  private readonly headers = new Map<string, SummaryHeader>();

  /** Epoch of the last complete list of warm items, by domain. */
  private readonly completeEpochs = new Map<string, number>();

  private readonly warm = new Map<string, Map<string, WarmItem>>();

  private readonly listeners: SummaryListener[] = [];

  private constructor(private readonly dissemination: Dissemination) {}

  static create(dissemination: Dissemination): DomainSummaries {
    const summaries = new DomainSummaries(dissemination);
    dissemination.addFilter(FactPrefix.warm, (fact) => summaries.isCurrent(fact));
    dissemination.table.subscribe(FactPrefix.warm, (fact) => summaries.applyWarm(fact));
    dissemination.table.subscribe(FactPrefix.domain, (fact) => summaries.applyHeader(fact));
    dissemination.table.subscribe(FactPrefix.domainReachable, (fact) =>
      summaries.notify(fact.key.slice(FactPrefix.domainReachable.length)),
    );
    return summaries;
  }

  /** Names of the other domains with a known summary. */
  domains(): readonly string[] {
    return [...this.headers.keys()].sort();
  }

  summary(domain: string): DomainSummary | undefined {
    const header = this.headers.get(domain);
    if (header === undefined) return undefined;
    const [bundleVersion, spareLevel, entries] = header;
    return { domain, bundleVersion, spareLevel, entries, isFresh: this.isFresh(domain) };
  }

  isWarm(domain: string, item: string): boolean {
    const known = this.warm.get(domain)?.get(item);
    return known?.isWarm === true && known.epoch >= (this.completeEpochs.get(domain) ?? 0);
  }

  /** Items that are warm in a domain. */
  warmItems(domain: string): readonly string[] {
    const known = [...(this.warm.get(domain)?.keys() ?? [])];
    return known.filter((item) => this.isWarm(domain, item));
  }

  /** Domains with a fresh summary in which the item is warm. */
  domainsWith(item: string): readonly string[] {
    return this.domains().filter((domain) => this.isFresh(domain) && this.isWarm(domain, item));
  }

  /** Calls `listener` with the domain name after each change of a summary. */
  onChange(listener: SummaryListener): void {
    this.listeners.push(listener);
  }

  private isFresh(domain: string): boolean {
    return this.dissemination.table.get(`${FactPrefix.domainReachable}${domain}`)?.value === true;
  }

  private isCurrent(fact: Fact): boolean {
    const { domain } = parseWarmKey(fact.key);
    return fact.rank[0] >= (this.completeEpochs.get(domain) ?? 0);
  }

  private applyWarm(fact: Fact): void {
    const { domain, item } = parseWarmKey(fact.key);
    const items = this.warm.get(domain) ?? new Map<string, WarmItem>();
    this.warm.set(domain, items);
    if (fact.value === true) items.set(item, { isWarm: true, epoch: fact.rank[0] });
    else items.delete(item);
    this.notify(domain);
  }

  private applyHeader(fact: Fact): void {
    const domain = fact.key.slice(FactPrefix.domain.length);
    const header = readHeader(fact.value);
    if (header === undefined) return;
    this.headers.set(domain, header);
    const complete = Array.isArray(fact.value) ? Number(fact.value[3]) : 0;
    if (complete > (this.completeEpochs.get(domain) ?? 0)) this.dropItemsBefore(domain, complete);
    this.notify(domain);
  }

  /** Drops items of earlier epochs: an item that the complete list does not name is not warm. */
  private dropItemsBefore(domain: string, epoch: number): void {
    this.completeEpochs.set(domain, epoch);
    const items = this.warm.get(domain);
    items?.forEach((known, item) => {
      if (known.epoch >= epoch) return;
      items.delete(item);
      this.dissemination.table.forget(warmKey(domain, item));
    });
  }

  private notify(domain: string): void {
    this.listeners.forEach((listener) => listener(domain));
  }
}
