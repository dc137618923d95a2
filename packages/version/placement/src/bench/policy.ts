import { FixedTtl } from '../fixed-ttl';
import { GapHistogram } from '../gap-histogram';
import { type ArrivalOptions, simulateArrivals } from './arrivals';
import { clairvoyantIdleHours, type PolicyFigures, simulatePolicy } from './simulate';

export interface Deployment extends ArrivalOptions {
  readonly name: string;
  readonly idleHourPrice: number;
  readonly coldSecondPrice: number;
  readonly tailExponent: number;
}

/** Results for one deployment, all from the same requests. Ratios are policy over baseline. */
export interface PolicyResult {
  readonly deployment: string;
  readonly seed: number;
  readonly policy: PolicyFigures;
  readonly fixedTenMinutes: PolicyFigures;
  /** The fixed time-to-live, in minutes, with the lowest cost at the deployment's prices. */
  readonly bestFixedMinutes: number;
  readonly bestFixed: PolicyFigures;
  readonly clairvoyantIdleHours: number;
  readonly ratios: {
    readonly idleHours: number;
    readonly p99All: number;
    readonly p99Cold: number;
    readonly costToBestFixed: number;
    readonly idleHoursToBestFixed: number;
    readonly p99AllToBestFixed: number;
    readonly idleHoursToClairvoyant: number;
  };
}

const dayMs = 86_400_000;

/** Warm-up days at the start; policies learn but nothing is measured. */
const learningDays = 3;

const fixedMinutes = [0.5, 1, 2, 3, 5, 7, 10, 15, 20, 30, 45, 60, 90, 120, 240];

/** Prices are per idle accelerator hour and per second of wait, in the same currency. */
export const deployments: readonly Omit<Deployment, 'seed'>[] = [
  {
    name: 'mtkvari',
    models: 100,
    adapters: 100,
    periodicShare: 0.15,
    reviewShare: 0.1,
    days: 10,
    idleHourPrice: 3,
    coldSecondPrice: 0.03,
    tailExponent: 0,
  },
  {
    name: 'lustrewell',
    models: 65,
    adapters: 75,
    periodicShare: 0.15,
    reviewShare: 0,
    days: 10,
    idleHourPrice: 3,
    coldSecondPrice: 0.02,
    tailExponent: 1,
  },
];

const ratio = (a: number, b: number): number => (b === 0 ? Number(a > 0) : a / b);

/** Compares the histogram policy with fixed times-to-live and with the clairvoyant bound. */
export const benchPolicy = (deployment: Deployment): PolicyResult => {
  const { idleHourPrice, coldSecondPrice, tailExponent, seed } = deployment;
  const items = simulateArrivals(deployment);
  const costs = new Map(items.map((item) => [item.name, item]));
  const from = learningDays * dayMs;
  const cost = ({ idleHours, waitSeconds }: PolicyFigures) =>
    idleHours * idleHourPrice + waitSeconds * coldSecondPrice;
  const policy = simulatePolicy(
    items,
    GapHistogram.create({
      idleHourPrice,
      coldSecondPrice,
      tailExponent,
      costOf: (name) => costs.get(name) ?? { coldStartSeconds: 1, accelerators: 1, calendar: [] },
    }),
    from,
  );
  const fixed = fixedMinutes.map((minutes) => ({
    minutes,
    figures: simulatePolicy(items, FixedTtl.create(minutes * 60_000), from),
  }));
  const fixedTenMinutes = simulatePolicy(items, FixedTtl.create(600_000), from);
  const [best] = [...fixed].sort((a, b) => cost(a.figures) - cost(b.figures));
  const clairvoyant = clairvoyantIdleHours(items, from);
  return {
    deployment: deployment.name,
    seed,
    policy,
    fixedTenMinutes,
    bestFixedMinutes: best.minutes,
    bestFixed: best.figures,
    clairvoyantIdleHours: clairvoyant,
    ratios: {
      idleHours: ratio(policy.idleHours, fixedTenMinutes.idleHours),
      p99All: ratio(policy.p99AllSeconds, fixedTenMinutes.p99AllSeconds),
      p99Cold: ratio(policy.p99ColdSeconds, fixedTenMinutes.p99ColdSeconds),
      costToBestFixed: ratio(cost(policy), cost(best.figures)),
      idleHoursToBestFixed: ratio(policy.idleHours, best.figures.idleHours),
      p99AllToBestFixed: ratio(policy.p99AllSeconds, best.figures.p99AllSeconds),
      idleHoursToClairvoyant: ratio(policy.idleHours, clairvoyant),
    },
  };
};
