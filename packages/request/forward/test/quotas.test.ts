import { CustomerTable, digestOfKey, type Quota, QuotaUnit } from '@currantdrift/routes';
import { err, ok } from 'neverthrow';
import { costOf } from '../src/quota-admission';
import { ForwardHarness, whole } from './harness';

const quota: Quota = { unit: QuotaUnit.tokens, ratePerS: 100, burst: 0, plainCost: 7 };

let harness: ForwardHarness;
let refunds: number[];
beforeEach(async () => {
  harness = await ForwardHarness.create((socket) => socket.end(whole(200, 'ok')));
  const customer = { name: 'acme', priority: undefined, quota };
  harness.customers = CustomerTable.create([{ customer, keyDigests: [digestOfKey('k1')] }]);
  refunds = [];
  harness.quotas = async (name, _, tokens) =>
    ok({ customer: name, tokens, refund: () => refunds.push(tokens) });
});
afterEach(() => harness.close());

const call = (path = '/unsafe/x') => harness.call(path, { headers: { authorization: 'k1' } });

test('the cost of a request is what it states', () => {
  const stated = { promptTokens: 10, maxNewTokens: 5 };
  const unstated = { promptTokens: 0, maxNewTokens: 0 };
  const requests: Quota = { ...quota, unit: QuotaUnit.requests };
  expect([costOf(quota, stated), costOf(quota, unstated), costOf(requests, stated)]).toEqual([
    15, 7, 1,
  ]);
});

// Guards against requests that run although their quota is used up, and refusals without a time.
test('a request over its quota is refused with the time at which it may be retried', async () => {
  harness.quotas = async () =>
    err({ kind: 'exceeded', retryAfterMs: 3_000, role: 'owner', leaseAgeMs: undefined });
  const response = await call();
  expect(response.status).toBe(429);
  expect(Number(response.retryAfter)).toBeGreaterThanOrEqual(3);
  expect(harness.arrivals).toEqual([0]);
});

test('a request whose quota cannot be checked does not run', async () => {
  harness.quotas = async () =>
    err({ kind: 'unreachable', retryAfterMs: undefined, role: undefined, leaseAgeMs: undefined });
  expect((await call()).status).toBe(503);
  expect(harness.arrivals).toEqual([0]);
});

// Guards against quotas that are used up by requests which the endpoints never get.
test('the cost is refunded only if the request was not sent', async () => {
  expect([(await call()).status, refunds]).toEqual([200, []]);
  harness.directory.remove('e1');
  expect([(await call()).status, refunds]).toEqual([503, [20]]);
});

test('requests without a customer cost nothing', async () => {
  harness.quotas = async () => Promise.reject(new Error('asked'));
  expect((await call('/public/x')).status).toBe(200);
});
