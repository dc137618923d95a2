import type { Draw } from './draw';
import type { Layout, Moment } from './plan';

/** Longest time between the parts of a takeover, in ms. */
const gapMs = 600;

/** Longest time that an order is late, in ms. */
const longestDelayMs = 30_000;

const lostOf = (draw: Draw, { engines }: Layout, domain: string): string => {
  const engine = draw.pick(engines.filter((one) => one.domain === domain)).name;
  return draw.pick([
    `engine ${engine} delays next order ${draw.between(1_000, longestDelayMs)}ms`,
    `engine ${engine} loses answers of ${draw.between(1, 4)} orders`,
    `engine ${engine} dies in next load`,
    `store loses answers of ${draw.between(1, 4)} writes`,
    'store latency 200ms',
  ]);
};

const endOf = (draw: Draw, domain: string, pauseMs: number): string =>
  draw.pick([
    `kill controller of ${domain}`,
    `pause controller of ${domain} ${pauseMs}ms`,
    `pause controller of ${domain} ${pauseMs}ms before next order`,
  ]);

/**
 * A load is wanted, its order or its record goes wrong, and the controller dies or is paused for
 * longer than its lease at the same moment; its successor is asked for other loads.
 */
export const takeover = (draw: Draw, layout: Layout, at: number): readonly Moment[] => {
  const { name: domain } = draw.pick(
    layout.domains.filter(({ name }) => layout.engines.some((engine) => engine.domain === name)),
  );
  const models = layout.items.filter(({ name }) => !name.includes(':'));
  const wake = (): string =>
    `burst ${draw.between(1, 3)} requests for ${draw.pick(models).name} at ${domain} deadline 60s`;
  const pauseMs = draw.between(8_000, 40_000);
  return [
    { at, text: lostOf(draw, layout, domain) },
    { at: at + draw.between(0, gapMs), text: wake() },
    { at: at + draw.between(0, gapMs), text: endOf(draw, domain, pauseMs) },
    ...Array.from({ length: draw.between(1, 4) }, () => ({
      at: at + draw.between(gapMs, pauseMs),
      text: wake(),
    })),
    { at: at + pauseMs, text: 'store latency 4ms' },
  ];
};
