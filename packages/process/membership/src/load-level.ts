import type { EndpointReport } from '@currantdrift/core';

/** Level at which all slots are in use. */
const fullLevel = 8;

const maxLevel = 2 * fullLevel;

/** Minimum difference from the published level for a new one to be published, in eighths. */
const hysteresis = 1.25;

/** Load in eighths of the slots, not rounded; waiting requests count like running ones. */
export const loadOf = (report: EndpointReport): number => {
  const requests = report.running + report.waiting;
  return Math.min(maxLevel, (requests / Math.max(1, report.slots)) * fullLevel);
};

/** Level to publish, given the last published one (undefined before the first). */
export const nextLevel = (published: number | undefined, load: number): number =>
  published === undefined || Math.abs(load - published) >= hysteresis
    ? Math.round(load)
    : published;
