import { parseEra } from './store-revision';

/**
 * The era of a store, as its answers state it: the number of times that it has come back from a copy.
 * Late answers may state an earlier era than the highest one seen.
 */
export class StoreEra {
  private highest = 0;

  private constructor() {}

  static create(): StoreEra {
    return new StoreEra();
  }

  /** Highest era that was stated; 0 if none was. */
  get current(): number {
    return this.highest;
  }

  /** Takes the header of an answer. Returns the answer's era; one that states none has the current one. */
  observe(header: string | readonly string[] | undefined): number {
    const stated = parseEra(typeof header === 'string' ? header : header?.[0]) ?? this.highest;
    this.highest = Math.max(this.highest, stated);
    return stated;
  }
}

/** A lease with the era in which the store granted it, since its id may be granted again in another. */
export interface EraLease {
  readonly era: number;
  readonly id: string;
}

/** Combines the parts of a lease into one id. */
export const encodeLease = ({ era, id }: EraLease): string => `${era}.${id}`;

/** Splits a combined lease id. */
export const decodeLease = (lease: string): EraLease => {
  const dot = lease.indexOf('.');
  return { era: Number(lease.slice(0, dot)), id: lease.slice(dot + 1) };
};
