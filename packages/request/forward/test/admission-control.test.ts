import { type Demand, LoadReplay, type ReplaySettings, type Tally } from './load-replay';

const stream = { priority: 0, targetMs: 1_000, deadlineMs: 8_000 };

/** 8 engines that serve 80 requests per second together. */
const fleet = { engines: 8, slots: 12, serviceMs: 1_200, announceMs: 500, isAdmitted: true };

const compare = async (settings: ReplaySettings) => {
  const [before, after] = await Promise.all(
    [false, true].map((isAdmitted) => LoadReplay.run({ ...settings, isAdmitted })),
  );
  return { before, after };
};

const total = ({ onTime, late, refused, expired }: Tally) => onTime + late + refused + expired;

// Guards against a customer that takes the endpoints from the others by sending more.
test.each([1, 12, 32])('a customer with seven times its demand, %i members', async (members) => {
  const customers = Array.from({ length: 16 }, (_, index): Demand => {
    const name = index === 0 ? 'burst' : 'others';
    const customer = `customer ${index}`;
    return { ...stream, customer, name, perSecond: 4.5, fromMs: 0, toMs: 20_000 };
  });
  const burst = { ...customers[0], perSecond: 27, fromMs: 5_000, toMs: 11_000 };
  const { before, after } = await compare({ ...fleet, members, demands: [...customers, burst] });
  expect({ before, after }).toMatchSnapshot();
  expect(after.others.onTime).toBeGreaterThan(before.others.onTime);
});

// Guards against requests of little urgency that delay urgent ones, and against late refusals.
test.each([1, 12, 32])('two priorities at twice the capacity, %i members', async (members) => {
  const demands = [0, 2].map((priority): Demand => {
    const name = `priority ${priority}`;
    const perSecond = priority === 0 ? 60 : 100;
    return { ...stream, customer: 'all', name, priority, perSecond, fromMs: 0, toMs: 15_000 };
  });
  const { before, after } = await compare({ ...fleet, members, demands });
  expect({ before, after }).toMatchSnapshot();
});

// Guards against requests that wait for ever when reports stop or an endpoint ends.
test.each([{ reportsEndMs: 3_000 }, { crashMs: 3_000 }])(
  'every request ends although %j',
  async (failure) => {
    const demand = {
      ...stream,
      customer: 'all',
      name: 'all',
      perSecond: 88,
      fromMs: 0,
      toMs: 8_000,
    };
    const settings = { ...fleet, members: 12, demands: [demand], ...failure };
    const { all } = await LoadReplay.run(settings);
    expect(all).toMatchSnapshot();
    const ended = await LoadReplay.run({ ...settings, isAdmitted: false });
    expect(total(all)).toBe(total(ended.all));
  },
);
