import type { AdmissionSettings } from '@currantdrift/admission';
import type { HolderProtections, RolloutProtections, TrustedKeys } from '@currantdrift/bundle';
import type { ClaimLedgerOptions } from '@currantdrift/booking';
import type {
  Clock,
  EndpointConnector,
  HostList,
  LimitSource,
  Network,
  Random,
  StopDurations,
  Store,
  Telemetry,
} from '@currantdrift/core';
import type { AttemptSettings } from '@currantdrift/attempt';
import type { ControllerOptions, PlacementSettings } from '@currantdrift/placement';

/**
 * Safety mechanisms, grouped by the package that implements them. Only scenarios and tests disable
 * any.
 */
export interface NodeProtections {
  readonly placement?: ControllerOptions['protections'];
  readonly booking?: ClaimLedgerOptions['protections'];
  readonly bundle?: HolderProtections;
  readonly rollout?: RolloutProtections;
  readonly admission?: Pick<AdmissionSettings, 'earlyRefusal'>;
  /** False: calls to endpoints that limit their requests need no permit. */
  readonly requestLimits?: boolean;
  /** False: prompts that crash engines are not held back. */
  readonly crashQuarantine?: boolean;
}

/**
 * Prices with which the keep-warm policy weighs idle memory against cold starts; see the settings.
 */
export interface Prices {
  readonly idleHour: number;
  readonly coldSecond: number;
  readonly tailExponent?: number;
  /** Memory of one accelerator, in bytes. */
  readonly acceleratorBytes?: number;
}

/** Settings and external dependencies of a `Node`. */
export interface NodeOptions {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
  /** `ip:port` at which this daemon listens for peers. */
  readonly address: string;
  /** `ip:port` at which this daemon listens for operators. */
  readonly operatorAddress: string;
  /** Peer addresses to contact in addition to those in the host list. */
  readonly seeds: readonly string[];
  readonly trusted: TrustedKeys;
  /** PEM-encoded public keys by operator, as given in the settings. */
  readonly trustedKeys: Readonly<Record<string, string>>;
  readonly prices: Prices;
  readonly weights: {
    readonly loadsPerSecond: number;
    readonly loadsAtOnce: number;
    readonly bytesPerSecond: number;
    readonly adapterTransits: number;
  };
  readonly queue: { readonly capacity: number; readonly callerCapacity: number };
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly store: Store;
  readonly hostList: HostList;
  readonly connector: EndpointConnector & LimitSource;
  readonly network: Network;
  /** Phases of a planned stop, which `Node.beginStop` begins. */
  readonly stopDurations: StopDurations;
  readonly attempts?: Partial<AttemptSettings>;
  readonly placement?: Partial<PlacementSettings>;
  readonly protections?: NodeProtections;
}
