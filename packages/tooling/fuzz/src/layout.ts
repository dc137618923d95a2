import type { Draw } from './draw';
import type { Layout } from './plan';

const regions = [
  { domain: 'perth-north', region: 'perth' },
  { domain: 'perth-south', region: 'perth' },
  { domain: 'kal-east', region: 'kalgoorlie' },
] as const;

const modelNames = ['quote-7', 'plan-2', 'rig-4', 'deposit-letter', 'venue-3', 'lamp-9'] as const;

const pool = 'writer';

const service = 'deposit';

const operators = ['asha', 'tom'] as const;

const numbered = (count: number): number[] => Array.from({ length: count }, (_, i) => i + 1);

interface Place {
  readonly name: string;
  readonly domain: string;
}

const drawEngines = (draw: Draw, domains: readonly string[]): Place[] =>
  numbered(draw.pick([Math.max(2, domains.length), 4, 5, 5])).map((number) => ({
    name: `writer-${number}`,
    // The first engines give each domain one, so that its allotments can be used.
    domain: domains[number - 1] ?? domains[draw.pick([0, 0, 1])],
  }));

const drawModels = (draw: Draw) =>
  modelNames.slice(0, draw.between(3, 6)).map((name) => ({
    name,
    gigabytes: draw.between(10, 40),
    replicas: draw.pick([1, 1, 1, 2, 3]),
  }));

/** Draws a small deployment whose engines cannot hold all models at once. */
export const drawLayout = (draw: Draw): Layout => {
  const domains = regions.slice(0, draw.between(2, 3)).map(({ domain, region }) => {
    const count = draw.pick([1, 2, 2, 3, 3]);
    const short = domain.split('-').at(-1);
    return { name: domain, region, daemons: numbered(count).map((n) => `${short}-${n}`) };
  });
  const names = domains.map(({ name }) => name);
  const engines = drawEngines(draw, names);
  const models = drawModels(draw);
  const adapter = { name: `${models[0].name}:brass`, replicas: draw.between(1, 2) };
  const booking = { name: 'booking-1', domain: draw.pick(names) };
  const runMs = draw.between(60, 180) * 1_000;
  const lines = [
    `fencing ${draw.chance(0.5) ? 'on' : 'off'}`,
    ...domains.map(
      (one) => `domain ${one.name} region ${one.region} daemons ${one.daemons.length}`,
    ),
    ...engines.map(
      ({ name, domain }) =>
        `engine ${name} in ${domain} pool ${pool} memory ${draw.between(40, 70)}GB`,
    ),
    `service ${booking.name} in ${booking.domain} pool ${service}`,
    ...models.map(
      ({ name, gigabytes, replicas }) =>
        `model ${name} pool ${pool} bytes ${gigabytes}GB replicas ${replicas}`,
    ),
    `adapter ${adapter.name} bytes 300MB replicas ${adapter.replicas}`,
    ...operators.map((name) => `operator ${name}`),
    ...engines.flatMap((engine) =>
      models
        .filter(() => draw.chance(0.6))
        .map(({ name }) => `checkpoint ${name} at ${engine.name} on disk`),
    ),
  ];
  return {
    lines,
    domains: domains.map(({ name, daemons }) => ({
      name,
      daemons,
      endpoints: [...engines, booking].filter((one) => one.domain === name).map((one) => one.name),
    })),
    daemons: domains.flatMap(({ daemons }) => daemons),
    engines,
    endpoints: [...engines, booking].map(({ name }) => name),
    items: [...models, adapter],
    service,
    serviceEndpoint: booking.name,
    operators,
    runMs,
  };
};
