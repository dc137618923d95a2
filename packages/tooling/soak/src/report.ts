import type { Violation } from './violation';
import type { Timeline } from './timeline';

/** Time before and after a violation that the report shows, in ms. */
const spanMs = 4_000;

const seconds = (ms: number): string => (ms / 1000).toFixed(2).padStart(8);

/** The report of a run: its seed, what happened, and the time line around each violation. */
export const report = (
  seed: number,
  counts: Readonly<Record<string, number>>,
  violations: readonly Violation[],
  timeline: Timeline,
): string => {
  const lines = [
    `seed ${seed}: ${timeline.length} events, ${violations.length} violations`,
    ...Object.entries(counts)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, count]) => `  ${name}: ${count}`),
  ];
  violations.forEach(({ at, rule, text }) => {
    lines.push('', `${seconds(at)} s  ${rule}: ${text}`);
    timeline.around(at, spanMs).forEach((one) => lines.push(`${seconds(one.at)} s    ${one.text}`));
  });
  return lines.join('\n');
};
