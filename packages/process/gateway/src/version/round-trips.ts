/** Assumed round-trip times to a failure domain, in ms. */
const roundTripMs = { sameDomain: 0.5, sameRegion: 3, otherRegion: 17 } as const;

/** Estimates round-trip times from one failure domain to the others. */
export class RoundTrips {
  private constructor(
    private readonly ownDomain: string,
    private readonly regions: ReadonlyMap<string, string>,
  ) {}

  /** `regions` holds the region of each failure domain. */
  static create(ownDomain: string, regions: ReadonlyMap<string, string>): RoundTrips {
    return new RoundTrips(ownDomain, regions);
  }

  /** Round-trip time to `domain`, in ms. */
  to(domain: string): number {
    if (domain === this.ownDomain) return roundTripMs.sameDomain;
    const isSameRegion = this.regions.get(domain) === this.regions.get(this.ownDomain);
    return isSameRegion ? roundTripMs.sameRegion : roundTripMs.otherRegion;
  }
}
