import type { Draw } from './draw';
import type { Event, Layout, Moment } from './plan';
import { bookingTrouble } from './booking-trouble';
import { takeover } from './takeovers';

/** Lines of a fault that starts at `at`. */
type Fault = (draw: Draw, layout: Layout, at: number) => readonly Moment[];

/** Life of a domain's lease, in ms (design, section 4); pauses are longer than it. */
const leaseMs = 6_000;

const duration = (draw: Draw): number => draw.between(500, 40_000);

const places = ({ domains, daemons, endpoints }: Layout): string[] => [
  ...domains.map(({ name }) => name),
  ...daemons,
  ...endpoints,
];

const cut: Fault = (draw, layout, at) => {
  const a = draw.pick(places(layout));
  const others = [...places(layout), 'store', 'hosts', 'all'].filter((name) => name !== a);
  const b = draw.pick(others);
  return [
    { at, text: `cut ${a} from ${b}` },
    { at: at + duration(draw), text: `heal ${a} from ${b}` },
  ];
};

const cutFromStore: Fault = (draw, { domains, daemons }, at) => {
  const a = draw.pick([...domains.map(({ name }) => name), ...daemons]);
  return [
    { at, text: `cut ${a} from store` },
    { at: at + duration(draw), text: `heal ${a} from store` },
  ];
};

const outage: Fault = (draw, _, at) => [
  { at, text: 'store down' },
  { at: at + duration(draw), text: 'store up' },
];

const slowStore: Fault = (draw, _, at) => [
  { at, text: `store latency ${draw.between(50, 1_500)}ms` },
  { at: at + duration(draw), text: 'store latency 4ms' },
];

const lostWrites: Fault = (draw, _, at) => [
  { at, text: `store loses answers of ${draw.between(1, 6)} writes` },
];

const pauseMs = (draw: Draw): number => draw.between(leaseMs + 500, 40_000);

const pause: Fault = (draw, { daemons }, at) => [
  { at, text: `pause daemon ${draw.pick(daemons)} ${pauseMs(draw)}ms` },
];

const pauseController: Fault = (draw, { domains }, at) => [
  { at, text: `pause controller of ${draw.pick(domains).name} ${pauseMs(draw)}ms` },
];

const pauseBeforeOrder: Fault = (draw, { domains }, at) => [
  {
    at,
    text: `pause controller of ${draw.pick(domains).name} ${pauseMs(draw)}ms before next order`,
  },
];

const killController: Fault = (draw, { domains }, at) => [
  { at, text: `kill controller of ${draw.pick(domains).name}` },
];

const killDaemon: Fault = (draw, { daemons }, at) => {
  const daemon = draw.pick(daemons);
  const kill = { at, text: `kill daemon ${daemon}` };
  if (draw.chance(0.3)) return [kill];
  return [kill, { at: at + duration(draw), text: `restart daemon ${daemon}` }];
};

const stopDaemon: Fault = (draw, { daemons }, at) => [
  { at, text: `stop daemon ${draw.pick(daemons)}` },
];

const killEngine: Fault = (draw, { engines }, at) => {
  const engine = draw.pick(engines).name;
  const kill = { at, text: `kill engine ${engine}` };
  return [kill, { at: at + duration(draw), text: `restart engine ${engine}` }];
};

const restartEngine: Fault = (draw, { engines }, at) => [
  { at, text: `restart engine ${draw.pick(engines).name}` },
];

const diesInLoad: Fault = (draw, { engines }, at) => [
  { at, text: `engine ${draw.pick(engines).name} dies in next load` },
];

const lateOrder: Fault = (draw, { engines }, at) => [
  {
    at,
    text: `engine ${draw.pick(engines).name} delays next order ${draw.between(500, 30_000)}ms`,
  },
];

const lostOrders: Fault = (draw, { engines }, at) => [
  { at, text: `engine ${draw.pick(engines).name} loses answers of ${draw.between(1, 4)} orders` },
];

const silence: Fault = (draw, layout, at) => {
  const a = draw.pick(places(layout));
  const b = draw.pick([...places(layout), 'all'].filter((name) => name !== a));
  return [{ at, text: `silence connections between ${a} and ${b}` }];
};

const answers: Fault = (draw, { endpoints }, at) => {
  const endpoint = draw.pick(endpoints);
  const fault = draw.pick([
    `late answers from ${endpoint} ${draw.between(100, 8_000)}ms`,
    `crossed answers from ${endpoint}`,
    `lost answers from ${endpoint}`,
  ]);
  return [
    { at, text: fault },
    { at: at + duration(draw), text: `whole answers from ${endpoint}` },
  ];
};

const slowWeights: Fault = (draw, _, at) => [{ at, text: `weights slow ${draw.between(2, 5)}x` }];

const leaving: Fault = (draw, { endpoints }, at) => [
  { at, text: `host ${draw.pick(endpoints)} leaving` },
];

/** All kinds of faults; those that the guarantees on placement rest on come more than once. */
const faults: readonly Fault[] = [
  cut,
  cut,
  cutFromStore,
  cutFromStore,
  outage,
  slowStore,
  lostWrites,
  lostWrites,
  pause,
  pauseController,
  pauseController,
  pauseBeforeOrder,
  pauseBeforeOrder,
  killController,
  killDaemon,
  stopDaemon,
  killEngine,
  restartEngine,
  diesInLoad,
  lateOrder,
  lateOrder,
  lostOrders,
  lostOrders,
  takeover,
  takeover,
  takeover,
  takeover,
  takeover,
  takeover,
  bookingTrouble,
  bookingTrouble,
  bookingTrouble,
  silence,
  answers,
  slowWeights,
  leaving,
  leaving,
];

/** Faults that keep no daemon from hearing of a leaving endpoint, which is one of them. */
const hearingFaults: readonly Fault[] = [
  outage,
  slowStore,
  lostWrites,
  diesInLoad,
  lostOrders,
  answers,
  slowWeights,
  leaving,
  leaving,
  leaving,
];

/** Longest time between two faults of a pair, in ms. */
const pairGapMs = 300;

/** Share of single faults that start when some work is under way. */
const workShare = 0.5;

/** Longest time from the start of work to such a fault, in ms. */
const workGapMs = 1_500;

/** Share of faults that start together with the one before. */
const pairShare = 0.5;

/** Draws 3 to 10 faults; many start together. `hearing`: daemons hear of leaving endpoints. */
export const drawFaults = (
  draw: Draw,
  layout: Layout,
  work: readonly Event[],
  hearing: boolean,
): Event[] => {
  const kinds = hearing ? hearingFaults : faults;
  const starts = work.flatMap(({ moments }) => moments.map((moment) => moment.at));
  const single = (): number =>
    draw.chance(workShare)
      ? draw.pick(starts) + draw.between(0, workGapMs)
      : draw.between(0, Math.floor(layout.runMs * 0.8));
  let at = 0;
  return Array.from({ length: draw.between(3, 10) }, () => {
    at = draw.chance(pairShare) ? at + draw.between(0, pairGapMs) : single();
    return { kind: 'fault', moments: draw.pick(kinds)(draw, layout, at), settings: [] };
  });
};
