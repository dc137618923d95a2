// Guards against bookings that run twice, and against refusals or repeats that are not true.
import { FailureKind, hadNoEffect, type PlainAnswer } from '@currantdrift/core';
import { err } from 'neverthrow';
import { callOnce, dispatchOnce, keyHash, type Permit } from '../src';
import { bucketKey, decodeBucket, encodeBucket, maxClaimBytes } from '../src/bucket';
import { type Claim, claimLifeMs, maxKeptBodyBytes } from '../src/claim';
import { recordOutcome, standingOf } from '../src/decide';
import { answerOf, callOf, World } from './support';

const hours = 3_600_000;

const claimOf = (fields: Partial<Claim> = {}): Claim => ({
  caller: 'hall',
  keyHash: keyHash('hall', 'k'),
  bodyDigest: 'digest',
  nonce: 'nonce',
  dispatcher: 'a',
  claimedAt: 0,
  expiresAt: claimLifeMs,
  state: 'claimed',
  ...fields,
});

/** Keys that fall into one bucket. */
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
    standingOf(claimOf(fields), digest, now, () => gone),
  ]);
  expect(decided).toMatchSnapshot();
});

// Guards against the answer "not run" to a repeat whose first call ran, when no endpoint takes it.
test('an earlier call is found without a claim', async () => {
  const world = new World();
  const first = world.daemon('a');
  const second = world.daemon('b');
  const find = (key: string, body = 'body') => {
    const deadline = world.clock.now() + 1_000;
    const claim = { caller: 'hall', key, call: callOf(body), deadline };
    return world.clock.settle(second.ledger.find(claim, world.clock.now()));
  };
  await world.clock.settle(first.book('ran', 'body'));
  await world.clock.settle(first.book('lost', 'body', 1, 'lost'));
  expect(await find('none')).toBeUndefined();
  expect(await find('ran')).toMatchObject({ kind: 'repeat', state: 'done' });
  expect(await find('ran', 'another body')).toEqual({ kind: 'conflict', reason: 'other_body' });
  expect(await find('lost')).toEqual({ kind: 'repeat', state: 'unknown' });
  expect(await find('none')).toBeUndefined();
  second.faults.latencyMs = 5_000;
  expect(await find('ran')).toBeUndefined();
});

test('claims that wait for one bucket are written together', async () => {
  const world = new World();
  const { book, faults } = world.daemon('a');
  faults.latencyMs = 10;
  const bookings = keysOfOneBucket(20).map((key, index) => book(key, 'body', index));
  const answers = await world.clock.settle(Promise.all(bookings));
  expect(answers.every(({ kind }) => kind === 'answered')).toBe(true);
  expect(Object.fromEntries(world.store.calls)).toMatchSnapshot();
});

test('writers of one bucket merge after a conflict', async () => {
  const world = new World();
  const bookings = keysOfOneBucket(12).map((key, index) => {
    const { book, faults } = world.daemon(`daemon-${index}`);
    faults.latencyMs = 2 + index;
    return book(key, 'body', index);
  });
  const answers = await world.clock.settle(Promise.all(bookings));
  expect(answers.map(({ kind }) => kind)).toEqual(Array(12).fill('answered'));
  expect(world.runs.length).toBe(12);
});

test('a repeat gets the recorded outcome, also at another daemon', async () => {
  const world = new World();
  const [a, b] = [world.daemon('a'), world.daemon('b')];
  const answers = [
    await world.clock.settle(a.book('k', 'body', 1)),
    await world.clock.settle(b.book('k', 'body', 2)),
    await world.clock.settle(b.book('k', 'other', 3)),
  ];
  await world.clock.advance(claimLifeMs + 60_000);
  answers.push(await world.clock.settle(b.book('k', 'body', 4)));
  expect(answers).toMatchSnapshot();
});

test('a dispatch that provably did not happen releases the key', async () => {
  const world = new World();
  const { book } = world.daemon('a');
  const answers = [
    await world.clock.settle(book('k', 'body', 1, 'unreachable')),
    await world.clock.settle(book('k', 'body', 2, 'lost')),
    await world.clock.settle(book('k', 'body', 3)),
  ];
  expect(answers).toMatchSnapshot();
});

test('an outage refuses as not run, and the key is free after it', async () => {
  const world = new World();
  const { book, faults } = world.daemon('a');
  faults.down = true;
  const refused = await world.clock.settle(book('k', 'body'));
  faults.down = false;
  faults.losesAnswer = (call) => {
    faults.down = true;
    return call === 'compareAndSwap';
  };
  const inDoubt = await world.clock.settle(book('k', 'body'));
  faults.losesAnswer = () => false;
  faults.down = false;
  await world.clock.advance(30_000);
  expect(world.store.keys('booking/')).toEqual([]);
  const booked = await world.clock.settle(book('k', 'body'));
  expect([refused, inDoubt, booked.kind, world.runs.length]).toMatchSnapshot();
});

test('a failure to record the outcome does not change the answer', async () => {
  const world = new World();
  const [a, b] = [world.daemon('a'), world.daemon('b')];
  const { ledger, faults } = a;
  const deadline = world.clock.now() + 1000;
  const claim = { caller: 'hall', key: 'k', call: callOf('body'), deadline };
  const claimed = await ledger.claim(claim, world.clock.now());
  if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
  faults.down = true;
  const ticket = claimed.permit.consume(world.clock.now())._unsafeUnwrap();
  const endpoint = { call: () => Promise.resolve({ isOk: () => true, value: answerOf('yes') }) };
  const { signal } = new AbortController();
  const dispatched = await callOnce(ticket, endpoint as never, callOf('body'), signal);
  expect(dispatched.kind).toBe('answered');
  // The daemon that dispatched knows the outcome; others cannot say during the outage.
  const kinds = async () => [
    (await world.clock.settle(a.book('k', 'body'))).kind,
    (await world.clock.settle(b.book('k', 'body'))).kind,
  ];
  expect([await kinds(), ledger.unrecordedCount]).toEqual([['repeat', 'conflict'], 1]);
  faults.down = false;
  await world.clock.advance(20_000);
  expect([await kinds(), ledger.unrecordedCount]).toEqual([['repeat', 'repeat'], 0]);
});

test('a permit and its ticket serve once, and only in the dispatch window', async () => {
  const world = new World();
  const { ledger } = world.daemon('a');
  const grant = async (key: string): Promise<Permit> => {
    const deadline = world.clock.now() + 1000;
    const request = { caller: 'hall', key, call: callOf('body'), deadline };
    const claimed = await ledger.claim(request, world.clock.now());
    if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
    return claimed.permit;
  };
  const [used, late, early, released] = [
    await grant('used'),
    await grant('late'),
    await grant('early'),
    await grant('released'),
  ];
  const now = world.clock.now();
  const ticket = used.consume(now)._unsafeUnwrap();
  const send = jest.fn(() =>
    Promise.resolve(
      err<PlainAnswer, never>({
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
  // @ts-expect-error a dispatch needs a ticket, which only a consumed permit gives
  const untyped: Parameters<typeof dispatchOnce>[0] = used;
  // @ts-expect-error a look-alike of a ticket is none
  const forged: Parameters<typeof dispatchOnce>[0] = { claim: used.claim, take: () => undefined };
  expect([untyped, forged].length).toBe(2);
});

test('a full bucket refuses new keys with the time of its next expiry and records outcomes', async () => {
  const world = new World();
  const { book } = world.daemon('a');
  const [first] = keysOfOneBucket(1);
  const now = world.clock.now();
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
    return size < maxClaimBytes;
  });
  let bucket = new Map(fitting.map((claim) => [claim.keyHash, claim]));
  world.store.swap(bucketKey(keyHash('hall', first)), 0, encodeBucket(bucket));
  expect(await world.clock.settle(book(first, 'body'))).toMatchSnapshot();
  fitting.forEach((claim) => {
    bucket = new Map(recordOutcome(bucket, claim, outcome));
  });
  expect([...bucket.values()].every(({ state }) => state === 'done')).toBe(true);
  expect(encodeBucket(bucket)?.length).toBeLessThan(1_000_000);
});

test('a large body is kept by its digest, and a damaged bucket refuses', async () => {
  const world = new World();
  const { ledger, book } = world.daemon('a');
  const request = { caller: 'hall', key: 'k', call: callOf('body'), deadline: Infinity };
  const claimed = await ledger.claim(
    { ...request, deadline: world.clock.now() + 9 },
    world.clock.now(),
  );
  if (claimed.kind !== 'granted') throw new Error('the claim was not granted');
  const ticket = claimed.permit.consume(world.clock.now())._unsafeUnwrap();
  const large = answerOf('x'.repeat(maxKeptBodyBytes + 1));
  const endpoint = { call: () => Promise.resolve({ isOk: () => true, value: large }) };
  await callOnce(ticket, endpoint as never, callOf('body'), new AbortController().signal);
  await world.clock.advance(10);
  expect(await world.clock.settle(book('k', 'body'))).toMatchSnapshot();
  const key = bucketKey(keyHash('hall', 'k'));
  const entry = world.store.read(key);
  expect(decodeBucket(entry)?.size).toBe(1);
  world.store.swap(key, entry?.revision ?? 0, Buffer.from('{"a":'));
  expect(await world.clock.settle(book('k', 'body'))).toMatchSnapshot();
  expect(hadNoEffect({ kind: 'invalid', step: '', peer: '', message: '' })).toBe(false);
});
