import type { Quota } from '@currantdrift/routes';
import { Fleet, tokenQuota } from './fleet';
import { Load, type LoadOptions } from './load';

/** Sixteen customers, the largest with a rate fifteen times that of the smallest, in tokens per second. */
const rates = [30, 22, 16, 12, 9, 7, 6, 5, 4.5, 4, 3.5, 3, 2.7, 2.4, 2.2, 2].map(
  (rate) => rate * 1_000,
);

const quotas = (): Map<string, Quota> =>
  new Map(rates.map((rate, index) => [`c${index}`, tokenQuota(rate)]));

const memberCount = 84;

/** Time after which the store drops the key of a member that has ended, in s. */
const keyLifetimeS = 9;

const steady = 0.7;

const create = () => Fleet.create(memberCount, quotas());

const replay = (fleet: Fleet, options: Partial<LoadOptions> = {}) =>
  Load.run(fleet, { seconds: 30, share: () => steady, ...options });

const percent = (share: number): number => Math.round(share * 1_000) / 10;

/** Highest use of all customers in any window, in per cent of what is allowed; at most 100. */
const peak = (load: Load): number => {
  const shares = [...quotas().keys()].map((customer) => load.peakShare(customer));
  expect(Math.max(...shares)).toBeLessThanOrEqual(1);
  return percent(Math.max(...shares));
};

/** Refused tokens of customers, in per cent of what they asked for. */
const refused = (load: Load, customers: readonly string[]): number => {
  const sum = (outcome?: 'used') =>
    customers.reduce((total, customer) => total + load.tokens(customer, outcome), 0);
  return percent(1 - sum('used') / sum());
};

const others = (customer: string): string[] =>
  [...quotas().keys()].filter((name) => name !== customer);

// Guards against quotas that are split evenly over the members, which refuse what is below the quota.
test('customers below their quotas get what they ask for, wherever it arrives', async () => {
  const load = await replay(await create());
  expect({ peak: peak(load), refused: refused(load, [...quotas().keys()]) }).toMatchSnapshot();
});

// Guards against a burst at one customer that exceeds its quota or costs the others theirs.
test('a customer with seven times its demand is held to its quota', async () => {
  const load = await replay(await create(), {
    share: (customer, second) =>
      (customer === 'c1' && second >= 10 && second < 16 ? 7 : 1) * steady,
  });
  expect({
    peak: peak(load),
    refused: refused(load, ['c1']),
    refusedOthers: refused(load, others('c1')),
  }).toMatchSnapshot();
});

describe.each(['c0', 'c9'])('while the owner of %s fails', (customer) => {
  const overload: Partial<LoadOptions> = {
    seconds: 36,
    share: (name) => (name === customer ? 3 : steady),
  };
  const figures = (load: Load) => ({
    peak: peak(load),
    refused: refused(load, [customer]),
    refusedOthers: refused(load, others(customer)),
  });

  test('killed', async () => {
    const fleet = await create();
    const owner = fleet.ownerOf(customer);
    const load = await replay(fleet, {
      ...overload,
      onSecond: (second) => {
        if (second === 8) fleet.members.delete(owner.host);
        if (second === 8 + keyLifetimeS) fleet.publish();
      },
    });
    expect(figures(load)).toMatchSnapshot();
  });

  // Guards against an owner that goes on with what its bucket gained while it did not run.
  test('frozen, and back after its replacement has begun', async () => {
    const fleet = await create();
    const owner = fleet.ownerOf(customer);
    const rest = () => [...fleet.members.keys()].filter((host) => host !== owner.host);
    const load = await replay(fleet, {
      ...overload,
      onSecond: (second) => {
        if (second === 8) fleet.cutOff([owner.host]);
        if (second === 8) owner.isFrozen = true;
        if (second === 8 + keyLifetimeS) fleet.publish(rest());
        if (second === 24) owner.isFrozen = false;
        if (second === 24) fleet.apart.delete(owner.host);
        if (second === 26) owner.cutOffAt = undefined;
        if (second === 26) fleet.publish();
      },
    });
    expect(figures(load)).toMatchSnapshot();
  });

  // Guards against two parts of the fleet that both grant the whole quota.
  test('cut off with a part of the fleet', async () => {
    const fleet = await create();
    const owner = fleet.ownerOf(customer);
    const hosts = [owner.host, ...[...fleet.members.keys()].slice(0, 14)];
    const rest = [...fleet.members.keys()].filter((host) => !hosts.includes(host));
    const load = await replay(fleet, {
      ...overload,
      onSecond: (second) => {
        if (second === 8) fleet.cutOff(hosts);
        if (second === 8 + keyLifetimeS) fleet.publish(rest);
      },
    });
    expect(figures(load)).toMatchSnapshot();
  });
});

// Guards against new owners that begin with nothing or with a whole burst, and against two at a time.
test.each([steady, 3])('members are replaced one by one, at a load of %d', async (share) => {
  const fleet = await create();
  let leaving: string | undefined;
  const load = await replay(fleet, {
    seconds: 18,
    share: () => share,
    onSecond: (second) => {
      if (leaving !== undefined) fleet.members.delete(leaving);
      if (second % 3 === 0) fleet.put(`n${second}`);
      leaving = second % 3 === 1 ? fleet.ownerOf('c0').host : undefined;
      fleet.publish([...fleet.members.keys()].filter((host) => host !== leaving));
    },
  });
  expect({ peak: peak(load), refused: refused(load, [...quotas().keys()]) }).toMatchSnapshot();
});

// Guards against tokens of requests that were not sent and are used a second time by later ones.
test('refunds of many requests do not add up to more than the quota', async () => {
  const load = await replay(await create(), {
    share: () => 3,
    isUnsent: (second) => second >= 8 && second < 16,
  });
  expect({ peak: peak(load) }).toMatchSnapshot();
});
