// Guards against bookings that run twice, and against wrong "not run" or "repeat" results.
import { FailureKind, hadNoEffect, type ServiceCallResponse } from '@currantdrift/core';
import { err, ok } from 'neverthrow';
import { callEndpointOnce, type ClaimLedger, dispatchOnce, keyHash, type Permit } from '../src';
import { bucketKey, decodeBucket, encodeBucket, maxBucketBytesForClaims } from '../src/bucket';
import { type Claim, claimLifetimeMs, maxKeptBodyBytes } from '../src/claim';
import { recordOutcome, existingClaimResult } from '../src/claim-decisions';
import { answerOf, callOf, TestCluster } from './support';

const hours = 3_600_000;

const claimOf = (fields: Partial<Claim> = {}): Claim => ({
  caller: 'hall',
  keyHash: keyHash('hall', 'k'),
  bodyDigest: 'digest',
  nonce: 'nonce',
  dispatcher: 'a',
  claimedAt: 0,
  expiresAt: claimLifetimeMs,
  state: 'claimed',
  ...fields,
});

/** Keys whose hashes belong to the same bucket. */
const keysOfOneBucket = (count: number): string[] => {
  const wanted = bucketKey(keyHash('hall', 'key-0'));
  const keys: string[] = [];
  for (let index = 0; keys.length < count; index += 1) {
    if (bucketKey(keyHash('hall', `key-${index}`)) === wanted) keys.push(`key-${index}`);
  }
  return keys;
};

test('decides a repeat by body, state, age and dispatcher', () => {
  const outcome = { status: 201, contentType: '', bodyBytes: 0, bodyDigest: '' };
  const cases: [string, Partial<Claim>, string, number, boolean][] = [
    ['other body', {}, 'other', 0, false],
    ['young', {}, 'digest', 59_999, false],
    ['old', {}, 'digest', 60_000, false],
    ['gone but may still dispatch', {}, 'digest', 19_999, true],
    ['gone', {}, 'digest', 20_000, true],
    ['done', { state: 'done', outcome }, 'digest', 0, false],
    ['unknown', { state: 'unknown' }, 'digest', 0, false],
  ];
  const decided = cases.map(([name, fields, digest, now, gone]) => [
    name,
    existingClaimResult(claimOf(fields), digest, now, () => gone),
  ]);
  expect(decided).toMatchSnapshot();
});

// Guards against answering "not run" to a repeat whose first call ran, when no endpoint accepts it.
test('an earlier call is found without a claim', async () => {
  const cluster = new TestCluster();
  const first = cluster.daemon('a');
  const second = cluster.daemon('b');
  const find = (key: string, body = 'body') => {
    const deadline = cluster.clock.now() + 1_000;
    const claim = { caller: 'hall', key, call: callOf(body), deadline };
    return cluster.clock.settle(second.ledger.find(claim, cluster.clock.now()));
  };
  await cluster.clock.settle(first.book('ran', 'body'));
  await cluster.clock.settle(first.book('lost', 'body', 1, 'lost'));
  expect(await find('none')).toBeUndefined();
  expect(await find('ran')).toMatchObject({ kind: 'repeat', state: 'done' });
  expect(await find('ran', 'another body')).toEqual({ kind: 'conflict', reason: 'other_body' });
  expect(await find('lost')).toEqual({ kind: 'repeat', state: 'unknown' });
  expect(await find('none')).toBeUndefined();
  second.faults.latencyMs = 5_000;
  expect(await find('ran')).toBeUndefined();
});

test('claims that wait for one bucket are written together', async () => {
  const cluster = new TestCluster();
  const { book, faults } = cluster.daemon('a');
  faults.latencyMs = 10;
  const bookings = keysOfOneBucket(20).map((key, index) => book(key, 'body', index));
  const answers = await cluster.clock.settle(Promise.all(bookings));
  expect(answers.every(({ kind }) => kind === 'answered')).toBe(true);
  expect(Object.fromEntries(cluster.store.calls)).toMatchSnapshot();
});

test('writers of one bucket merge after a conflict', async () => {
  const cluster = new TestCluster();
  const bookings = keysOfOneBucket(12).map((key, index) => {
    const { book, faults } = cluster.daemon(`daemon-${index}`);
    faults.latencyMs = 2 + index;
    return book(key, 'body', index);
  });
  const answers = await cluster.clock.settle(Promise.all(bookings));
  expect(answers.map(({ kind }) => kind)).toEqual(Array(12).fill('answered'));
  expect(cluster.runs.length).toBe(12);
});

test('a repeat gets the recorded outcome, also at another daemon', async () => {
  const cluster = new TestCluster();
  const [a, b] = [cluster.daemon('a'), cluster.daemon('b')];
  const answers = [
    await cluster.clock.settle(a.book('k', 'body', 1)),
    await cluster.clock.settle(b.book('k', 'body', 2)),
    await cluster.clock.settle(b.book('k', 'other', 3)),
  ];
  await cluster.clock.advance(claimLifetimeMs + 60_000);
  answers.push(await cluster.clock.settle(b.book('k', 'body', 4)));
  expect(answers).toMatchSnapshot();
});

test('a dispatch that provably did not happen releases the key', async () => {
  const cluster = new TestCluster();
  const { book } = cluster.daemon('a');
  const answers = [
    await cluster.clock.settle(book('k', 'body', 1, 'unreachable')),
    await cluster.clock.settle(book('k', 'body', 2, 'lost')),
    await cluster.clock.settle(book('k', 'body', 3)),
  ];
  expect(answers).toMatchSnapshot();
});

test('an outage refuses as not run, and the key is free after it', async () => {
  const cluster = new TestCluster();
  const { book, faults } = cluster.daemon('a');
  faults.down = true;
  const refused = await cluster.clock.settle(book('k', 'body'));
  faults.down = false;
  faults.losesAnswer = (call) => {
    faults.down = true;
    return call === 'compareAndSwap';
  };
  const inDoubt = await cluster.clock.settle(book('k', 'body'));
  faults.losesAnswer = () => false;
  faults.down = false;
  await cluster.clock.advance(30_000);
  expect(cluster.store.keys('booking/')).toEqual([]);
  const booked = await cluster.clock.settle(book('k', 'body'));
  expect([refused, inDoubt, booked.kind, cluster.runs.length]).toMatchSnapshot();
});

test('a failure to record the outcome does not change the answer', async () => {
  const cluster = new TestCluster();
  const [a, b] = [cluster.daemon('a'), cluster.daemon('b')];
  const { ledger, faults } = a;
  const deadline = cluster.clock.now() + 1000;
  const claim = { caller: 'hall', key: 'k', call: callOf('body'), deadline };
  const claimed = await ledger.claim(claim, cluster.clock.now());
  if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
  faults.down = true;
  const ticket = claimed.permit.consume(cluster.clock.now())._unsafeUnwrap();
  const endpoint = { call: () => Promise.resolve({ isOk: () => true, value: answerOf('yes') }) };
  const { signal } = new AbortController();
  const dispatched = await callEndpointOnce(ticket, endpoint as never, callOf('body'), signal);
  expect(dispatched.kind).toBe('answered');
  // During the outage only the daemon that dispatched the booking knows its outcome.
  const kinds = async () => [
    (await cluster.clock.settle(a.book('k', 'body'))).kind,
    (await cluster.clock.settle(b.book('k', 'body'))).kind,
  ];
  expect([await kinds(), ledger.unrecordedCount]).toEqual([['repeat', 'conflict'], 1]);
  faults.down = false;
  await cluster.clock.advance(20_000);
  expect([await kinds(), ledger.unrecordedCount]).toEqual([['repeat', 'repeat'], 0]);
});

test('a permit and its ticket serve once, and only in the dispatch window', async () => {
  const cluster = new TestCluster();
  const { ledger } = cluster.daemon('a');
  const grant = async (key: string): Promise<Permit> => {
    const deadline = cluster.clock.now() + 1000;
    const request = { caller: 'hall', key, call: callOf('body'), deadline };
    const claimed = await ledger.claim(request, cluster.clock.now());
    if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
    return claimed.permit;
  };
  const [used, late, early, released] = [
    await grant('used'),
    await grant('late'),
    await grant('early'),
    await grant('released'),
  ];
  const now = cluster.clock.now();
  const ticket = used.consume(now)._unsafeUnwrap();
  const send = jest.fn(() =>
    Promise.resolve(
      err<ServiceCallResponse, never>({
        kind: FailureKind.unknown,
        step: '',
        peer: '',
        message: '',
      } as never),
    ),
  );
  await dispatchOnce(ticket, send);
  await dispatchOnce(ticket, send);
  await released.release();
  expect(send).toHaveBeenCalledTimes(1);
  const refusals = [used.consume(now), late.consume(now + 10_001), early.consume(now - 1)];
  refusals.push(released.consume(now));
  expect(refusals.map((refusal) => refusal._unsafeUnwrapErr())).toMatchSnapshot();
  // @ts-expect-error a dispatch needs a ticket, which only consuming a permit creates
  const untyped: Parameters<typeof dispatchOnce>[0] = used;
  // @ts-expect-error an object of the same shape is not a ticket
  const forged: Parameters<typeof dispatchOnce>[0] = { claim: used.claim, take: () => undefined };
  expect([untyped, forged].length).toBe(2);
});

test('a full bucket refuses new keys with the time of its next expiry and records outcomes', async () => {
  const cluster = new TestCluster();
  const { book } = cluster.daemon('a');
  const [first] = keysOfOneBucket(1);
  const now = cluster.clock.now();
  const body = 'x'.repeat(5_000);
  const outcome = { status: 200, contentType: '', bodyBytes: 1, bodyDigest: '', body };
  const filling = Array.from({ length: 3_000 }, (_, index) =>
    claimOf({
      keyHash: `hash-${index}`,
      claimedAt: now,
      expiresAt: now + hours + index,
      ...(index < 100 && { state: 'done', outcome }),
    }),
  );
  let size = 0;
  const fitting = filling.filter((claim) => {
    size += JSON.stringify(claim).length + (claim.state === 'done' ? 1 : 351);
    return size < maxBucketBytesForClaims;
  });
  let bucket = new Map(fitting.map((claim) => [claim.keyHash, claim]));
  cluster.store.swap(bucketKey(keyHash('hall', first)), 0, encodeBucket(bucket));
  expect(await cluster.clock.settle(book(first, 'body'))).toMatchSnapshot();
  fitting.forEach((claim) => {
    bucket = new Map(recordOutcome(bucket, claim, outcome));
  });
  expect([...bucket.values()].every(({ state }) => state === 'done')).toBe(true);
  expect(encodeBucket(bucket)?.length).toBeLessThan(1_000_000);
});

/** The ticket of a claim for the key `k`. */
const ticketOf = async (cluster: TestCluster, ledger: ClaimLedger) => {
  const now = cluster.clock.now();
  const request = { caller: 'hall', key: 'k', call: callOf('body'), deadline: now + 9 };
  const claimed = await ledger.claim(request, now);
  if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
  return claimed.permit.consume(cluster.clock.now())._unsafeUnwrap();
};

test('a large body is kept by its digest, and a damaged bucket refuses', async () => {
  const cluster = new TestCluster();
  const { ledger, book } = cluster.daemon('a');
  const ticket = await ticketOf(cluster, ledger);
  const large = answerOf('x'.repeat(maxKeptBodyBytes + 1));
  const endpoint = { call: () => Promise.resolve({ isOk: () => true, value: large }) };
  await callEndpointOnce(ticket, endpoint as never, callOf('body'), new AbortController().signal);
  await cluster.clock.advance(10);
  expect(await cluster.clock.settle(book('k', 'body'))).toMatchSnapshot();
  const key = bucketKey(keyHash('hall', 'k'));
  const entry = cluster.store.read(key);
  expect(decodeBucket(entry)?.size).toBe(1);
  cluster.store.swap(key, entry?.revision ?? 0, Buffer.from('{"a":'));
  expect(await cluster.clock.settle(book('k', 'body'))).toMatchSnapshot();
  expect(hadNoEffect({ kind: 'invalid', step: '', peer: '', message: '' })).toBe(false);
});

// Guards against a replay that presents an answer as whole which may have been broken off.
test('a body of which only the connection marked the end is not kept', async () => {
  const cluster = new TestCluster();
  const { ledger, book } = cluster.daemon('a');
  const ticket = await ticketOf(cluster, ledger);
  const broken = { ...answerOf('half an ans'), endsWithConnection: true };
  await dispatchOnce(ticket, () => Promise.resolve(ok(broken)));
  await cluster.clock.advance(10);
  const repeat = await cluster.clock.settle(book('k', 'body'));
  expect(repeat).toMatchObject({ state: 'done', outcome: { status: 201, bodyBytes: 11 } });
  expect(repeat).not.toHaveProperty('outcome.body');
});
