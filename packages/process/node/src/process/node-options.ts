import type { AdmissionSettings } from '@currantdrift/admission';
import type { HolderProtections, RolloutProtections, TrustedKeys } from '@currantdrift/bundle';
import type { ClaimLedgerOptions } from '@currantdrift/booking';
import type {
  Clock,
  EndpointConnector,
  HostList,
  Network,
  Random,
  Store,
  Telemetry,
} from '@currantdrift/core';
import type { AttemptSettings } from '@currantdrift/attempt';
import type { ControllerOptions, PlacementSettings } from '@currantdrift/placement';

/** Protections by the package that has them. Only scenarios and tests switch any of them off. */
export interface NodeProtections {
  readonly placement?: ControllerOptions['protections'];
  readonly booking?: ClaimLedgerOptions['protections'];
  readonly bundle?: HolderProtections;
  readonly rollout?: RolloutProtections;
  readonly admission?: Pick<AdmissionSettings, 'earlyRefusal'>;
}

/** What the keep-warm policy weighs; see the settings. */
export interface Prices {
  readonly idleHour: number;
  readonly coldSecond: number;
  readonly tailExponent?: number;
  /** Memory of one accelerator, in bytes. */
  readonly acceleratorBytes?: number;
}

/** What a daemon's decision code is made of. */
export interface NodeOptions {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
  /** `ip:port` for peers. */
  readonly address: string;
  /** `ip:port` for operators. */
  readonly operatorAddress: string;
  /** Peer addresses that are tried besides those of the host list. */
  readonly seeds: readonly string[];
  readonly trusted: TrustedKeys;
  /** Public keys in PEM by operator, as the settings have them. */
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
  readonly connector: EndpointConnector;
  readonly network: Network;
  readonly attempts?: Partial<AttemptSettings>;
  readonly placement?: Partial<PlacementSettings>;
  readonly protections?: NodeProtections;
}
