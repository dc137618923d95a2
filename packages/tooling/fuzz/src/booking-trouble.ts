import type { Draw } from './draw';
import type { Layout, Moment } from './plan';

/** Longest time from a booking to its fault, in ms; claims and calls take less. */
const gapMs = 400;

const troubleOf = (draw: Draw, { serviceEndpoint }: Layout, daemon: string): string =>
  draw.pick([
    `lost answers from ${serviceEndpoint}`,
    `late answers from ${serviceEndpoint} 3s`,
    `silence connections between ${daemon} and ${serviceEndpoint}`,
    `silence connections between ${daemon} and all`,
    `pause daemon ${daemon} ${draw.between(7_000, 80_000)}ms`,
    `kill daemon ${daemon}`,
    `store loses answers of ${draw.between(1, 3)} writes`,
    'store down',
  ]);

/** A booking goes wrong on its way, and its key is repeated at other daemons. */
export const bookingTrouble = (draw: Draw, layout: Layout, at: number): readonly Moment[] => {
  const { daemons, service, serviceEndpoint } = layout;
  const daemon = draw.pick(daemons);
  const booking = `book ${service} key trouble-${at}`;
  return [
    { at: at + draw.between(0, gapMs), text: troubleOf(draw, layout, daemon) },
    { at: at + draw.between(0, gapMs), text: `${booking} at ${daemon} deadline 10s` },
    ...Array.from({ length: draw.between(1, 3) }, () => ({
      at: at + draw.between(0, 30_000),
      text: `${booking} at ${draw.pick(daemons)} deadline 10s`,
    })),
    { at: at + 10_000, text: `whole answers from ${serviceEndpoint}` },
    { at: at + 10_000, text: 'store up' },
  ];
};
