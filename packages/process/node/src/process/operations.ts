import type { Head, PreparedBundle, RolloutOutcome, SignedBundle } from '@currantdrift/bundle';
import type { Failure } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** State of a daemon in the status report. */
export interface MemberSummary {
  readonly name: string;
  readonly address: string;
  readonly operatorAddress: string;
  readonly status: string;
  readonly controller: boolean;
}

/** State of an endpoint in the status report. */
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

/** An order to an engine that may or may not have taken effect. */
export interface InDoubtOrderSummary {
  readonly endpoint: string;
  readonly item: string;
  readonly kind: string;
  readonly epoch: number;
}

/** This daemon's view of the system. */
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
  /** Orders in doubt; empty unless this daemon is its domain's controller. */
  readonly inDoubt: readonly InDoubtOrderSummary[];
  readonly domains: readonly {
    readonly name: string;
    readonly reachable: boolean;
    readonly warmItems: number;
  }[];
}

/** Explains whether an item is warm and where a request for it would be routed. */
export interface Explanation {
  readonly item: string;
  readonly itemKey: string;
  /** Maximum number of replicas over all domains. */
  readonly limit: number;
  readonly domains: readonly {
    readonly name: string;
    readonly allotment: number;
    readonly warm: boolean;
    readonly reachable: boolean;
  }[];
  /** Domains in the order in which a request received by this daemon tries them. */
  readonly route: readonly { readonly domain: string; readonly reason: string }[];
  readonly replicas: readonly string[];
  /**
   * State of the item at the domain's controller if that is this daemon, else the controller's
   * name.
   */
  readonly placement: readonly string[];
}

/** Operations that a daemon offers to operators. */
export interface Operations {
  status(): StatusReport;
  /** Returns undefined if the bundle does not contain the item. */
  explain(item: string): Explanation | undefined;
  /**
   * Starts or stops draining an endpoint, or all endpoints of a host; a drained endpoint gets no
   * new work. Returns false if the target is unknown.
   */
  drain(target: string, isDrained: boolean): boolean;
  bundle(): PreparedBundle | undefined;
  history(): Promise<Result<readonly Head[], Failure>>;
  rollout(signed: SignedBundle, operator: string): Promise<RolloutOutcome>;
  /** PEM-encoded public keys by operator. */
  trustedKeys(): Readonly<Record<string, string>>;
}
