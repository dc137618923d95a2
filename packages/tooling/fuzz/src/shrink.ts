import type { Event, Plan } from './plan';

/** Whether a plan still shows the failure that is looked into. */
export type Fails = (plan: Plan) => Promise<boolean>;

/** Runs that may be spent on one scenario. */
const maxRuns = 400;

/**
 * Drops events while the plan still fails: first halves, quarters and so on, then single ones, as
 * delta debugging does (Zeller and Hildebrandt, 2002).
 */
export const shrink = async (plan: Plan, fails: Fails): Promise<Plan> => {
  let { events } = plan;
  let runs = 0;
  let size = Math.ceil(events.length / 2);
  while (size >= 1 && runs < maxRuns) {
    let isSmaller = false;
    let from = 0;
    while (from < events.length && runs < maxRuns) {
      const kept: readonly Event[] = [...events.slice(0, from), ...events.slice(from + size)];
      runs += 1;
      if (await fails({ ...plan, events: kept })) {
        events = kept;
        isSmaller = true;
      } else {
        from += size;
      }
    }
    if (size === 1 && !isSmaller) break;
    size = size === 1 ? 1 : Math.ceil(size / 2);
  }
  return { ...plan, events };
};
