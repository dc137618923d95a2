import type { Claim } from './claim';

/**
 * Time before the last claim within which a claim counts as recent, in ms. Longer than the age of any copy
 * from which the store comes back.
 */
const recentMs = 60_000;

/** The claims that this daemon made lately, to be written again after the store lost them. */
export class RecentClaims {
  private readonly claims = new Map<string, { readonly claim: Claim; readonly at: number }>();

  private constructor() {}

  static create(): RecentClaims {
    return new RecentClaims();
  }

  all(): Claim[] {
    return [...this.claims.values()].map(({ claim }) => claim);
  }

  /**
   * Keeps the newest state of a claim. Older claims are dropped only here, since no claim is written
   * while the store is away.
   */
  remember(claim: Claim, now: number): void {
    this.forget(claim);
    this.claims.set(claim.keyHash, { claim, at: now });
    // Entries are in the order of their times.
    for (const [hash, { at }] of this.claims) {
      if (at >= now - recentMs) return;
      this.claims.delete(hash);
    }
  }

  forget({ keyHash }: Claim): void {
    this.claims.delete(keyHash);
  }
}
