import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { PermitSource, type RequestPermits } from '@currantdrift/rate-limit';
import { err, ok } from 'neverthrow';
import { PermitWait } from '../src/permit-wait';

/** A wait whose permits are usable `waitMs` after they were asked for; undefined refuses them. */
const create = (waitMs: number | undefined) => {
  const clock = VirtualClock.create();
  const directory = EndpointDirectory.create();
  const record = endpointRecord({ id: 'e1', bornAt: 1 });
  directory.put(record);
  directory.limits.observe(record, 2, 0, 1);
  let asked = 0;
  const permits: RequestPermits = {
    acquire: async () => {
      asked += 1;
      const usableAt = clock.now() + (waitMs ?? 0);
      return waitMs === undefined
        ? err({ kind: 'refused', retryAfterMs: 900 })
        : ok({ endpoint: 'e1', usableAt, expiresAt: usableAt + 500, source: PermitSource.issuer });
    },
  };
  const wait = PermitWait.create({ clock, directory, permits });
  return { clock, record, wait, asked: () => asked };
};

test('a permit is kept until it may be used, and used once', async () => {
  const { clock, record, wait, asked } = create(400);
  await wait.acquire([record], 1_000);
  await wait.acquire([record], 1_000);
  expect([asked(), wait.usableAt, wait.take(clock.now())]).toEqual([1, 400, undefined]);
  await clock.advance(400);
  expect(wait.take(clock.now())).toMatchObject({ endpoint: 'e1' });
  expect(wait.take(clock.now())).toBeUndefined();
});

// Guards against a request that waits for a permit which has expired while the process was suspended.
test('an expired permit is dropped, so that another one is asked for', async () => {
  const { clock, record, wait, asked } = create(0);
  await wait.acquire([record], 1_000);
  await clock.advance(600);
  expect([wait.take(clock.now()), wait.usableAt, wait.isWaiting]).toEqual([
    undefined,
    undefined,
    false,
  ]);
  await wait.acquire([record], 1_000);
  expect(asked()).toBe(2);
});

test('a permit for an endpoint that takes no more requests is replaced', async () => {
  const { record, wait, asked } = create(400);
  await wait.acquire([record], 1_000);
  await wait.acquire([endpointRecord({ id: 'e2', bornAt: 1 })], 1_000);
  expect(asked()).toBe(2);
});

// Guards against a question for each change of the endpoints while a request waits.
test('after a refusal it asks again only after a while', async () => {
  const { clock, record, wait, asked } = create(undefined);
  await wait.acquire([record], 1_000);
  await wait.acquire([record], 1_000);
  expect([asked(), wait.retryAt]).toEqual([1, 900]);
  await clock.advance(300);
  await wait.acquire([record], 1_000);
  expect(asked()).toBe(2);
});
