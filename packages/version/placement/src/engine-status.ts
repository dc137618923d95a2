import type { EndpointReport, HostState } from '@currantdrift/core';

/** State of an engine from the host list and from reports that this controller requested. */
export interface EngineStatus {
  readonly id: string;
  readonly pool: string;
  readonly fencing: boolean;
  readonly state: HostState;
  /** Newest report that this process received from the engine. */
  readonly report: EndpointReport | undefined;
}

export type EngineStatuses = ReadonlyMap<string, EngineStatus>;

/** Tells whether `next` is newer than `previous`; a report of another boot counts as newer. */
export const isNewer = (previous: EndpointReport | undefined, next: EndpointReport): boolean =>
  previous === undefined || previous.bootId !== next.bootId || next.sequence > previous.sequence;

/** Tells whether the engine's report shows that it refuses orders of epochs below `epoch`. */
export const enforcesEpoch = ({ fencing, report }: EngineStatus, epoch: number): boolean =>
  fencing && report !== undefined && report.epoch >= epoch;
