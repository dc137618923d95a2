import {
  type Configuration,
  type Customer,
  CustomerTable,
  digestOfKey,
  type Route,
} from '@currantdrift/routes';
import { err, ok, type Result } from 'neverthrow';
import type { ForwardedIdentity } from './endpoint-protocol';

const httpStatus = { unauthorized: 401, unavailable: 503 } as const;

/** Time after which a client may retry that was refused for stale knowledge of the keys, in ms. */
const staleRetryAfterMs = 500;

/**
 * Share of the bound on withdrawn keys up to which the configuration may age. The rest covers the time for
 * which a message about its age may have been in transit.
 */
const usableAgeShare = 0.8;

/** By whom a request was authorized, if that was necessary. */
export interface Authorized {
  readonly customer: Customer | undefined;
  /** Digest of the API key; undefined on public routes and in deployments without customers. */
  readonly keyDigest: string | undefined;
  /** What the endpoint learns of the sender; undefined if the client's credentials are forwarded. */
  readonly identity: ForwardedIdentity | undefined;
}

/** Why a request may not be sent; it has not run. */
export interface AuthorizationRefusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** What is known of the configuration, and since when. */
export interface KnownConfiguration {
  /** Returns undefined until the first configuration has been received. */
  readonly configuration: () => Configuration | undefined;
  /** Time since the configuration was last certain to be the newest, in ms. */
  readonly ageMs: (now: number) => number;
  /** Age up to which an unknown key counts as invalid, in ms. */
  readonly changeBoundMs: number;
  /** Time within which a withdrawn key must be refused, in ms; undefined for no bound. */
  readonly revocationBoundMs: number | undefined;
}

const anonymous: Authorized = { customer: undefined, keyDigest: undefined, identity: undefined };

const noCustomers = CustomerTable.create();

const unverifiable: AuthorizationRefusal = {
  status: httpStatus.unavailable,
  reason: 'the API key cannot be verified at present',
  retryAfterMs: staleRetryAfterMs,
};

/**
 * Finds the customer of a request by its API key. A key may have been withdrawn since the configuration
 * was last known to be current, so a process that has lost contact refuses what it cannot verify.
 */
export class Authorizer {
  private constructor(private readonly known: KnownConfiguration) {}

  static create(known: KnownConfiguration): Authorizer {
    return new Authorizer(known);
  }

  /** Authorizes a request that has just arrived. */
  authorize(
    route: Route,
    apiKey: string | undefined,
    now: number,
  ): Result<Authorized, AuthorizationRefusal> {
    const customers = this.customers();
    if (customers.isEmpty) return ok(anonymous);
    if (route.isPublic) return ok({ ...anonymous, identity: { customer: undefined } });
    if (apiKey === undefined) return err(this.unknownKey(now));
    const keyDigest = digestOfKey(apiKey);
    const customer = customers.find(keyDigest);
    if (customer === undefined) return err(this.unknownKey(now));
    const authorized = { customer, keyDigest, identity: { customer: customer.name } };
    return this.isVerifiable(now) ? ok(authorized) : err(unverifiable);
  }

  /** Why the request may no longer be sent; undefined if its key still holds. */
  recheck({ customer, keyDigest }: Authorized, now: number): AuthorizationRefusal | undefined {
    if (customer === undefined || keyDigest === undefined) return undefined;
    if (this.customers().find(keyDigest)?.name !== customer.name) return this.unknownKey(now);
    return this.isVerifiable(now) ? undefined : unverifiable;
  }

  private customers(): CustomerTable {
    return this.known.configuration()?.customers ?? noCustomers;
  }

  /** Whether any withdrawal that must be obeyed by now would be known. */
  private isVerifiable(now: number): boolean {
    const { revocationBoundMs = Infinity, ageMs } = this.known;
    return ageMs(now) < usableAgeShare * revocationBoundMs;
  }

  /** A key that this process does not know may be new. */
  private unknownKey(now: number): AuthorizationRefusal {
    const { ageMs, changeBoundMs } = this.known;
    if (ageMs(now) >= changeBoundMs) return unverifiable;
    return { status: httpStatus.unauthorized, reason: 'the API key is not valid' };
  }
}
