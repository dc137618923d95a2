import type { Event, Layout } from './plan';

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

/** What must hold whatever happens. */
export const expectationsOf = ({ items }: Layout, events: readonly Event[]): string[] => [
  ...items.map(
    ({ name, replicas }) => `always replicas ${name} <= ${highestLimit(name, replicas, events)}`,
  ),
  ...always,
];
