import { CustomerTable, digestOfKey } from '@currantdrift/routes';
import { type Behaviour, ForwardHarness, whole } from './harness';

const withKeys = (...keys: string[]): CustomerTable =>
  CustomerTable.create([
    {
      customer: { name: 'acme', priority: undefined, quota: undefined },
      keyDigests: keys.map(digestOfKey),
    },
  ]);

const answers: Behaviour = (socket) => socket.end(whole(200, 'ok'));

let harness: ForwardHarness;
beforeEach(async () => {
  harness = await ForwardHarness.create(answers);
  harness.customers = withKeys('k1');
});
afterEach(() => harness.close());

const call = async (key?: string, path = '/unsafe/x') => {
  const headers: Record<string, string> = key === undefined ? {} : { authorization: key };
  const { status } = await harness.call(path, { headers });
  return status;
};

test('only requests with a known key are sent, with the name of their customer', async () => {
  expect([await call('k1'), await call('k2'), await call()]).toEqual([200, 401, 401]);
  expect(harness.endpoint(0).requests).toHaveLength(1);
  expect(harness.endpoint(0).requests[0]).toMatch(/\r\ncustomer: acme\r\n/u);
});

test('public routes need no key', async () => {
  expect(await call(undefined, '/public/x')).toBe(200);
});

// Guards against a 401 for a key that a newer configuration holds: clients do not retry after it.
test('an unknown key is not refused for good while the configuration may be old', async () => {
  harness.configurationAgeMs = 4_000;
  expect(await call('k2')).toBe(503);
});

// Guards against a host without contact on which a withdrawn key stays in use.
test('a key that cannot be verified any more is not used', async () => {
  harness.configurationAgeMs = 3_900;
  const before = await call('k1');
  harness.configurationAgeMs = 4_100;
  expect([before, await call('k1')]).toEqual([200, 503]);
  expect(harness.arrivals).toEqual([1]);
});

// Guards against a withdrawn key whose request waited for an endpoint meanwhile.
test('a key that is withdrawn while its request waits is refused', async () => {
  harness.directory.pause('e1', harness.endpoint(0).record().bornAt, Infinity);
  harness.directory.remove('e1');
  harness.directory.put({ ...harness.endpoint(0).record(), models: [] });
  const waiting = harness.call('/unsafe/x', { headers: { authorization: 'k1', model: 'm1' } });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  harness.customers = withKeys('k3');
  harness.directory.put(harness.endpoint(0).record([{ name: 'm1', adapters: [] }]));
  expect((await waiting).status).toBe(401);
  expect(harness.arrivals).toEqual([0]);
});
