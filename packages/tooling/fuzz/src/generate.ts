import { Draw } from './draw';
import { expectationsOf } from './expectations';
import { drawFaults } from './faults';
import { drawLayout } from './layout';
import type { Plan } from './plan';
import { drawWork } from './work';

/** One seed in this many has only faults under which leaving endpoints must get no new work. */
const hearingPeriod = 7;

/** The random scenario of a seed. */
export const planOf = (seed: number): Plan => {
  const draw = Draw.create(seed);
  const layout = drawLayout(draw);
  const work = drawWork(draw, layout);
  const events = [...drawFaults(draw, layout, work, seed % hearingPeriod === 0), ...work];
  return { seed, layout, events, expectations: expectationsOf(layout, events) };
};
