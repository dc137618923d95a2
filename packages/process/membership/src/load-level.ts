import type { EndpointReport } from '@currantdrift/core';

/** Level at which all slots are in use. */
const fullLevel = 8;

const maxLevel = 2 * fullLevel;

/** Distance from the published level at which a new one is published, in eighths. */
const hysteresis = 1.25;

/** Load in eighths of the slots, not rounded; waiting requests come on top of full slots. */
export const loadOf = (report: EndpointReport): number => {
  const requests = report.running + report.waiting;
  return Math.min(maxLevel, (requests / Math.max(1, report.slots)) * fullLevel);
};

/** The level to publish after `published`, the last one; undefined before the first. */
export const nextLevel = (published: number | undefined, load: number): number =>
  published === undefined || Math.abs(load - published) >= hysteresis
    ? Math.round(load)
    : published;
