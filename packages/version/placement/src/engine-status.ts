import type { EndpointReport, HostState } from '@currantdrift/core';

/** What the controller knows of an engine at first hand. */
export interface EngineStatus {
  readonly id: string;
  readonly pool: string;
  readonly fencing: boolean;
  readonly state: HostState;
  /** Newest report that this process asked the engine for. */
  readonly report: EndpointReport | undefined;
}

export type EngineStatuses = ReadonlyMap<string, EngineStatus>;

/** Tells whether `next` was taken after `previous`, as far as sequence numbers can say. */
export const isNewer = (previous: EndpointReport | undefined, next: EndpointReport): boolean =>
  previous === undefined || previous.bootId !== next.bootId || next.sequence > previous.sequence;

/** Tells whether the engine refuses orders of epochs below `epoch`, as its own report shows. */
export const enforcesEpoch = ({ fencing, report }: EngineStatus, epoch: number): boolean =>
  fencing && report !== undefined && report.epoch >= epoch;
