import { createHash } from 'node:crypto';

/** What a quota counts. */
export const QuotaUnit = {
  requests: 'requests',
  /** Tokens of the prompt and of the longest answer that a request allows. */
  tokens: 'tokens',
} as const;
export type QuotaUnit = (typeof QuotaUnit)[keyof typeof QuotaUnit];

/** What a customer may use over all members together: a token bucket. */
export interface Quota {
  readonly unit: QuotaUnit;
  /** Units per second, above 0. */
  readonly ratePerS: number;
  /** Units that accumulate while the quota is not used. */
  readonly burst: number;
  /** Cost of a request that states no tokens, in tokens. */
  readonly plainCost: number;
}

/** A customer whose requests carry one of its API keys. */
export interface Customer {
  readonly name: string;
  /** Priority of its requests, 0 the most urgent; undefined if the route's applies. */
  readonly priority: number | undefined;
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}

/** A customer with the digests of its API keys. */
export interface CustomerKeys {
  readonly customer: Customer;
  readonly keyDigests: readonly string[];
}

/** Digest under which an API key is stored; keys themselves are neither kept nor logged. */
export const digestOfKey = (apiKey: string): string =>
  createHash('sha256').update(apiKey).digest('hex');

/** The customers of a configuration, by the digests of their API keys. */
export class CustomerTable {
  private constructor(
    private readonly byDigest: ReadonlyMap<string, Customer>,
    private readonly byName: ReadonlyMap<string, Customer>,
  ) {}

  static create(customers: readonly CustomerKeys[] = []): CustomerTable {
    const byDigest = customers.flatMap(({ customer, keyDigests }) =>
      keyDigests.map((keyDigest): [string, Customer] => [keyDigest, customer]),
    );
    const byName = customers.map(({ customer }): [string, Customer] => [customer.name, customer]);
    return new CustomerTable(new Map(byDigest), new Map(byName));
  }

  /** Whether requests need no API key, since the configuration has no customers, with or without keys. */
  get isEmpty(): boolean {
    return this.byName.size === 0;
  }

  /** The customer that holds the key with a digest of `digestOfKey`. */
  find(keyDigest: string): Customer | undefined {
    return this.byDigest.get(keyDigest);
  }

  /** All customers, those without a key too. */
  all(): readonly Customer[] {
    return [...this.byName.values()];
  }

  /** The customer with a name, even if it holds no key. */
  named(name: string): Customer | undefined {
    return this.byName.get(name);
  }
}
