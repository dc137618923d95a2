import type { Head, PreparedBundle, RolloutOutcome, SignedBundle } from '@currantdrift/bundle';
import type { Failure } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** A daemon as operators see it. */
export interface MemberSummary {
  readonly name: string;
  readonly address: string;
  readonly operatorAddress: string;
  readonly status: string;
  readonly controller: boolean;
}

/** An endpoint as operators see it. */
export interface EndpointSummary {
  readonly name: string;
  readonly kind: string;
  readonly pool: string;
  readonly state: string;
  readonly drained: boolean;
  readonly reachable: boolean;
  readonly fencing: boolean;
  readonly memoryBytes: number;
  readonly usedBytes: number;
  readonly level: number;
  readonly items: readonly { readonly item: string; readonly state: string }[];
}

/** An order whose effect is not known. */
export interface DoubtSummary {
  readonly endpoint: string;
  readonly item: string;
  readonly kind: string;
  readonly epoch: number;
}

/** What this daemon knows of the system. */
export interface StatusReport {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
  readonly bundleVersion: number;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly openRequests: number;
  readonly waitingRequests: number;
  readonly members: readonly MemberSummary[];
  readonly endpoints: readonly EndpointSummary[];
  /** Orders in doubt, if this daemon is the controller of its domain. */
  readonly inDoubt: readonly DoubtSummary[];
  readonly domains: readonly {
    readonly name: string;
    readonly reachable: boolean;
    readonly warmItems: number;
  }[];
}

/** Why an item is or is not warm, and where a request for it would go. */
export interface Explanation {
  readonly item: string;
  readonly itemKey: string;
  /** Most replicas over all domains. */
  readonly limit: number;
  readonly domains: readonly {
    readonly name: string;
    readonly allotment: number;
    readonly warm: boolean;
    readonly reachable: boolean;
  }[];
  /** Domains in the order in which a request that arrives here tries them. */
  readonly route: readonly { readonly domain: string; readonly reason: string }[];
  readonly replicas: readonly string[];
  /** What the controller of this domain says, if it is this daemon. */
  readonly placement: readonly string[];
}

/** What operators may ask of a daemon. */
export interface Operations {
  status(): StatusReport;
  /** Undefined if the bundle has no such item. */
  explain(item: string): Explanation | undefined;
  /** Ends new work at an endpoint, or at all endpoints of a host; false if it is not known. */
  drain(target: string, isDrained: boolean): boolean;
  bundle(): PreparedBundle | undefined;
  history(): Promise<Result<readonly Head[], Failure>>;
  rollout(signed: SignedBundle, operator: string): Promise<RolloutOutcome>;
  /** Public keys in PEM by operator. */
  trustedKeys(): Readonly<Record<string, string>>;
}
