/** State of a domain for one item, as known to a daemon. */
export interface DomainOption {
  readonly name: string;
  readonly region: string;
  /** Whether a replica of the item is ready there. */
  readonly warm: boolean;
  /** Number of replicas of the item that the domain may hold. */
  readonly allotment: number;
  /** False when no entry daemon of the domain can be reached. */
  readonly reachable: boolean;
  /** Measured one-way latency in ms; undefined while unknown. */
  readonly latencyMs?: number;
}

/** A domain in which a request may be served. */
export interface DomainCandidate {
  readonly domain: string;
  readonly reason: 'own_warm' | 'region_warm' | 'own_allotment' | 'nearest_allotment';
  /** Whether the answer crosses the link between regions, which is billed by volume. */
  readonly crossesRegions: boolean;
}

/** Used for an unknown latency; larger than any measured one. */
const unknownLatencyMs = 1_000_000;

/**
 * Returns the domains in which to try a request, best first: the own domain if the item is warm
 * there, domains of the same region where it is warm, the own domain if it has an allotment, then
 * the nearest domains with an allotment. Domains of other regions come last, so that the link
 * between regions is used only if the request could not be served otherwise.
 */
export const orderDomains = (
  own: { readonly name: string; readonly region: string },
  options: readonly DomainOption[],
): DomainCandidate[] => {
  const rank = (option: DomainOption): number => {
    if (option.name === own.name) return option.warm ? 0 : 2;
    if (option.region === own.region) return option.warm ? 1 : 3;
    return 4;
  };
  const reasons = ['own_warm', 'region_warm', 'own_allotment', 'nearest_allotment'] as const;
  return options
    .filter((option) => option.warm || option.allotment > 0)
    .filter((option) => option.reachable || option.name === own.name)
    .map((option) => ({ option, rank: rank(option) }))
    .sort(
      (a, b) =>
        a.rank - b.rank ||
        Number(b.option.warm) - Number(a.option.warm) ||
        (a.option.latencyMs ?? unknownLatencyMs) - (b.option.latencyMs ?? unknownLatencyMs) ||
        (a.option.name < b.option.name ? -1 : 1),
    )
    .map((one) => ({
      domain: one.option.name,
      reason: reasons[Math.min(one.rank, 3)],
      crossesRegions: one.option.region !== own.region,
    }));
};
