import { CustomerTable, digestOfKey } from '@currantdrift/routes';
import { type Behaviour, ForwardHarness, whole } from './harness';

let harness: ForwardHarness;

afterEach(() => harness.close());

/** Answers after `ms`, and counts the requests that it holds at once. */
const slow = (ms: number) => {
  const held = { now: 0, most: 0 };
  const behaviour: Behaviour = (socket) => {
    held.now += 1;
    held.most = Math.max(held.most, held.now);
    setTimeout(() => {
      held.now -= 1;
      socket.end(whole(200, 'ok'));
    }, ms);
  };
  return { held, behaviour };
};

// The endpoint has 4 slots; 1 to 4 more requests may wait there.
const places = 8;

// Guards against requests beyond the room of an endpoint, and against lost ones in the queue.
test('requests beyond the room of an endpoint wait and are all served', async () => {
  const { held, behaviour } = slow(50);
  harness = await ForwardHarness.create(behaviour);
  harness.queuesWhenFull = true;
  const seen = await Promise.all(Array.from({ length: 40 }, () => harness.call('/safe/')));
  expect(seen.map(({ status }) => status)).toEqual(Array.from({ length: 40 }, () => 200));
  expect(held.most).toBeLessThanOrEqual(places);
});

// Guards against a changed selection in deployments without admission control.
test('without admission control all requests are sent at once', async () => {
  const { held, behaviour } = slow(1_500);
  harness = await ForwardHarness.create(behaviour);
  await Promise.all(Array.from({ length: 20 }, () => harness.call('/safe/')));
  expect(held.most).toBe(20);
});

// Guards against a refusal late in a request's time, and against one that has run.
test('requests that cannot be served in time are refused with a time to retry', async () => {
  const { behaviour } = slow(400);
  harness = await ForwardHarness.create(behaviour);
  harness.queuesWhenFull = true;
  await harness.call('/safe/');
  const seen = await Promise.all(Array.from({ length: 80 }, () => harness.call('/safe/')));
  const refused = seen.filter(({ status }) => status === 503);
  expect(refused.length).toBeGreaterThan(0);
  expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true);
  const served = seen.filter(({ status }) => status === 200);
  expect(harness.arrivals).toEqual([served.length + 1]);
});

// Guards against a queue that clients who have left keep from being served.
test('clients that leave while they wait are not sent', async () => {
  const { behaviour } = slow(200);
  harness = await ForwardHarness.create(behaviour);
  harness.queuesWhenFull = true;
  const served = Array.from({ length: places }, () => harness.call('/safe/'));
  const left = Array.from({ length: 8 }, () => harness.call('/safe/', { leaveAfterMs: 50 }));
  await Promise.all([...served, ...left]);
  expect((await harness.call('/safe/')).status).toBe(200);
  expect(harness.arrivals[0]).toBeLessThanOrEqual(places + 1);
});

// Guards against one customer whose requests fill the queue ahead of another's.
test('a customer with few requests does not wait behind one with many', async () => {
  const { behaviour } = slow(60);
  harness = await ForwardHarness.create(behaviour);
  harness.queuesWhenFull = true;
  harness.customers = CustomerTable.create(
    ['many', 'few'].map((name) => ({
      customer: { name, priority: undefined, quota: undefined },
      keyDigests: [digestOfKey(name)],
    })),
  );
  const call = (authorization: string) => harness.call('/safe/', { headers: { authorization } });
  const many = Array.from({ length: 60 }, () => call('many'));
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const { status } = await call('few');
  const left = await Promise.race([Promise.all(many).then(() => false), Promise.resolve(true)]);
  expect({ status, left }).toEqual({ status: 200, left: true });
  await Promise.all(many);
});
