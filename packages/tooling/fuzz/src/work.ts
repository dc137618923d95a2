import type { Draw } from './draw';
import type { Event, Layout } from './plan';

/** Mean time between two bursts of requests, in ms. */
const burstPeriodMs = 4_000;

/** Mean time between two bookings, in ms. */
const bookingPeriodMs = 5_000;

const event = (kind: Event['kind'], at: number, text: string, settings: string[] = []): Event => ({
  kind,
  moments: [{ at, text }],
  settings,
});

const drawBursts = (draw: Draw, { domains, items, runMs }: Layout): Event[] =>
  Array.from({ length: Math.ceil(runMs / burstPeriodMs) }, () => {
    const at = draw.between(0, runMs - 1_000);
    const place = draw.pick([...domains.map(({ name }) => name), 'all']);
    const deadline = draw.pick([2_000, 10_000, 30_000, 60_000]);
    const tokens = draw.pick([4, 16, 16, 100, 500]);
    const { name } = draw.pick(items);
    const count = draw.between(1, 6);
    const text = `burst ${count} requests for ${name} at ${place} deadline ${deadline}ms tokens ${tokens}`;
    return event('work', at, text);
  });

const drawBookings = (draw: Draw, { daemons, service, runMs }: Layout): Event[] =>
  Array.from({ length: Math.ceil(runMs / bookingPeriodMs) }, (_, index) => index).flatMap(
    (index) => {
      const at = draw.between(0, runMs - 1_000);
      const repeats = draw.between(1, 3);
      return Array.from({ length: repeats }, (__, repeat) => {
        const after = repeat === 0 ? 0 : draw.pick([0, 20, 500, 5_000, 20_000]);
        const deadline = draw.pick([1_000, 5_000, 20_000]);
        const daemon = draw.pick(daemons);
        const text = `book ${service} key k${index + 1} at ${daemon} deadline ${deadline}ms`;
        return event('work', at + after, text);
      });
    },
  );

/** Draws rollouts; some change the limits of several items, some race. */
const drawRollouts = (draw: Draw, { daemons, items, operators, runMs }: Layout): Event[] => {
  let at = 0;
  const models = items.filter(({ name }) => !name.includes(':'));
  return Array.from({ length: draw.between(0, 3) }, (_, index) => index).map((index) => {
    at = index > 0 && draw.chance(0.5) ? at : draw.between(0, Math.floor(runMs * 0.8));
    const label = `change-${index + 1}`;
    const changed = models.filter(() => draw.chance(0.5));
    const settings = (changed.length > 0 ? changed : [models[0]]).map(
      ({ name }) => `bundle ${label} sets ${name} replicas ${draw.between(0, 3)}`,
    );
    const [a, b] = draw.chance(0.5) ? operators : [...operators].reverse();
    const text = `rollout bundle ${label} by ${a} and ${b} at ${draw.pick(daemons)}`;
    return event('rollout', at, text, settings);
  });
};

/** Draws requests, bookings and rollouts. */
export const drawWork = (draw: Draw, layout: Layout): Event[] => [
  ...drawBursts(draw, layout),
  ...drawBookings(draw, layout),
  ...drawRollouts(draw, layout),
];
