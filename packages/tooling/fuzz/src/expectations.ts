import type { Event, Layout, Moment } from './plan';

const always = [
  'always engine memory within limits',
  'always runs per key <= 1',
  'always answers whole',
  'always refusals true',
  'always requests end by deadline',
  'always bundle versions rise',
  'always bundle versions agree',
] as const;

/** Highest number of replicas that some bundle of the scenario allows. */
const highestLimit = (name: string, replicas: number, events: readonly Event[]): number => {
  const changed = events
    .flatMap(({ settings }) => settings)
    .map((line) => line.split(' '))
    .filter(([, , , item]) => item === name)
    .map((words) => Number(words.at(-1)));
  return Math.max(replicas, ...changed);
};

/** Time before and after a leaving mark in which daemons must be able to hear of it, in ms. */
const hearingMs = { before: 45_000, after: 4_000 } as const;

/** Faults that can keep a daemon from hearing of a leaving mark: it is cut off, paused or dead. */
const deafening = /^(cut|heal|silence|pause|kill|restart|stop) /;

/** Orders that can arrive late: the endpoint had them before it began to leave. */
const delaying = /before next order|delays next order/;

/** Whether all daemons can hear of each leaving mark within its bound. */
const isLeavingHeard = (events: readonly Event[]): boolean => {
  const moments = events.flatMap((event) => event.moments);
  const leaving = moments.filter(({ text }) => text.startsWith('host '));
  const disturbs = (at: number) => (other: Moment) =>
    (deafening.test(other.text) &&
      other.at > at - hearingMs.before &&
      other.at < at + hearingMs.after) ||
    delaying.test(other.text);
  return leaving.length > 0 && leaving.every(({ at }) => !moments.some(disturbs(at)));
};

/** What must hold whatever happens. */
export const expectationsOf = ({ items }: Layout, events: readonly Event[]): string[] => [
  ...items.map(
    ({ name, replicas }) => `always replicas ${name} <= ${highestLimit(name, replicas, events)}`,
  ),
  ...always,
  // A daemon that is cut off or paused cannot hear of a leaving mark in time (design, section 8).
  ...(isLeavingHeard(events) ? ['always leaving endpoints get no new work'] : []),
];
