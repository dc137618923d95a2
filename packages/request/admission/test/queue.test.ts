import fc from 'fast-check';
import {
  AdmissionQueues,
  AdmissionQueue,
  type AdmissionRequest,
  type Ticket,
} from '@currantdrift/admission';

/** Seed of the property tests; fuzz runs set `FUZZ_SEED`. */
const seed = Number(process.env.FUZZ_SEED ?? 1);

const request = (caller: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  caller,
  weight: 1,
  priority: 5,
  deadline: 10_000,
  ...change,
});

/** A queue whose capacity the test sets, and the callers granted, in order. */
const setUp = (settings = {}) => {
  const pool = { free: 0, granted: [] as string[] };
  const queue = AdmissionQueue.create((head) => {
    if (pool.free === 0) return undefined;
    pool.free -= 1;
    pool.granted.push(head.caller);
    return head.caller;
  }, settings);
  return { pool, queue };
};

const refusalOf = async (ticket: Ticket<string>) => (await ticket.result)._unsafeUnwrapErr();

// Guards against any order other than retries, priority, fair share, deadline.
test('grants retries first, then by priority, in turn between callers, and by deadline', () => {
  const { pool, queue } = setUp();
  queue.enqueue(request('a', { deadline: 9_000 }), 0);
  queue.enqueue(request('a', { deadline: 8_000 }), 0);
  queue.enqueue(request('b', { deadline: 9_500 }), 0);
  queue.enqueue(request('c', { weight: 2 }), 0);
  queue.enqueue(request('c', { weight: 2 }), 0);
  queue.enqueue(request('urgent', { priority: 9 }), 0);
  queue.enqueue(request('again', { priority: 0, isRetry: true }), 0);
  pool.free = 10;
  queue.pump(1);
  expect(pool.granted).toMatchSnapshot();
});

// Guards against requests that can no longer meet their target delaying those that can.
test('serves those that can meet their target first, by target, then the others by deadline', () => {
  const { pool, queue } = setUp();
  const granted: string[] = [];
  const enqueue = (name: string, target: number, deadline: number) => {
    queue
      .enqueue(request('a', { target, deadline }), 0)
      .result.then(() => granted.push(name))
      .catch(() => {});
  };
  enqueue('late, second', 40, 9_000);
  enqueue('late, first', 50, 8_000);
  enqueue('on time, second', 900, 7_000);
  enqueue('on time, first', 800, 9_500);
  pool.free = 10;
  queue.pump(100);
  return Promise.resolve().then(() =>
    expect(granted).toEqual(['on time, first', 'on time, second', 'late, first', 'late, second']),
  );
});

// Guards against capacity that several queues can use going to the less urgent request.
test('capacity that several queues can use goes to the most urgent request', () => {
  let free = 0;
  const granted: string[] = [];
  const queues = AdmissionQueues.create<string>((key) => {
    if (free === 0) return undefined;
    free -= 1;
    granted.push(key);
    return key;
  });
  queues.enqueue('m1', request('a', { priority: 5 }), 0);
  queues.enqueue('m2', request('a', { priority: 9 }), 0);
  queues.enqueue('m2', request('a', { priority: 3 }), 0);
  queues.enqueue('m3', request('a', { priority: 9 }), 0);
  free = 3;
  queues.pumpSome(['m1', 'm2', 'absent'], 1);
  expect(granted).toEqual(['m2', 'm1', 'm2']);
});

// Guards against one caller that fills the queue, and against refusals without a retry time.
test('limits each caller, and evicts from the longest backlog when the queue is full', async () => {
  const { queue } = setUp({ maxWaiting: 4, maxPerCaller: 3 });
  const greedy = [0, 1, 2, 3].map((at) => queue.enqueue(request('greedy'), at));
  queue.enqueue(request('b'), 4);
  const refused = [await refusalOf(greedy[3])];
  const ticketOfC = queue.enqueue(request('c'), 5);
  refused.push(await refusalOf(greedy[2]));
  queue.enqueue(request('urgent', { priority: 9 }), 6);
  refused.push(await refusalOf(greedy[1]));
  refused.push(await refusalOf(queue.enqueue(request('b'), 7)));
  expect(ticketOfC.cancel(8)).toBe(true);
  expect({ refused, waiting: queue.size }).toMatchSnapshot();
});

// Guards against a retry time that is too early: a request repeated at that time must be admitted.
test('a request repeated after the retry time of its early refusal is admitted', async () => {
  const { pool, queue } = setUp();
  pool.free = 2;
  const running = [queue.enqueue(request('a'), 0), queue.enqueue(request('a'), 0)];
  // Two concurrent answers of 100 ms each give one answer every 50 ms.
  for (const ticket of running) (await ticket.result)._unsafeUnwrap().finish(true, 100);
  pool.free = 2;
  queue.enqueue(request('a'), 100);
  queue.enqueue(request('a'), 100);
  for (let index = 0; index < 12; index += 1) queue.enqueue(request(`w${index}`), 100);
  const late = await refusalOf(queue.enqueue(request('z', { deadline: 700 }), 100));
  expect(late.kind).toBe('too_late');
  const retryAt = 100 + late.retryAfterMs;
  for (let at = 150; at <= retryAt; at += 50) {
    pool.free = 1;
    queue.pump(at);
  }
  const again = queue.enqueue(request('z', { deadline: retryAt + 600 }), retryAt);
  expect(again.cancel(retryAt)).toBe(true);
});

// Guards against invalid input that corrupts the order, and against waiting in a stopping process.
test('refuses invalid requests, requests past their deadline, and all when closed', async () => {
  const { queue } = setUp();
  const refusals = [
    await refusalOf(queue.enqueue(request('a', { weight: 0 }), 0)),
    await refusalOf(queue.enqueue(request('a', { priority: 10 }), 0)),
    await refusalOf(queue.enqueue(request('a', { deadline: NaN }), 0)),
    await refusalOf(queue.enqueue(request('a', { deadline: 5 }), 5)),
  ];
  const waiting = queue.enqueue(request('a'), 6);
  queue.close(7);
  refusals.push(await refusalOf(waiting), await refusalOf(queue.enqueue(request('a'), 8)));
  expect(refusals).toMatchSnapshot();
});

// Guards against a queue that is starved by another one on the same endpoints.
test('queues that share endpoints take turns', () => {
  const granted: string[] = [];
  let free = 0;
  const admission = AdmissionQueues.create((key) => {
    if (free === 0) return undefined;
    free -= 1;
    granted.push(key);
    return key;
  });
  [0, 1].forEach((at) => ['x', 'y'].forEach((key) => admission.enqueue(key, request('a'), at)));
  for (let at = 2; at < 6; at += 1) {
    free = 1;
    admission.pump(at);
  }
  expect(granted).toEqual(['x', 'y', 'x', 'y']);
});

// Guards against an entry that is settled twice or never, in any order of events.
test('each entry is granted, refused or cancelled exactly once', async () => {
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('enter' as const),
      caller: fc.constantFrom('a', 'b', 'c'),
      priority: fc.integer({ min: 0, max: 9 }),
      timeLeftMs: fc.integer({ min: -5, max: 300 }),
    }),
    fc.record({ kind: fc.constant('cancel' as const), index: fc.nat(40) }),
    fc.record({ kind: fc.constant('finish' as const), index: fc.nat(40), served: fc.boolean() }),
    fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 120 }) }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
      const { pool, queue } = setUp({ maxWaiting: 6, maxPerCaller: 3 });
      pool.free = 2;
      const tickets: Ticket<string>[] = [];
      const settled: string[] = [];
      const grants: { finish(served: boolean, now: number): boolean }[] = [];
      let now = 0;
      let cancelled = 0;
      for (const action of steps) {
        if (action.kind === 'enter') {
          const { caller, priority, timeLeftMs } = action;
          const ticket = queue.enqueue(
            request(caller, { priority, deadline: now + timeLeftMs }),
            now,
          );
          const index = tickets.push(ticket) - 1;
          settled[index] = 'waiting';
          ticket.result
            .then((result) => {
              settled[index] = result.isOk() ? 'granted' : result.error.kind;
              if (result.isOk()) grants.push(result.value);
            })
            .catch(() => {});
        } else if (action.kind === 'cancel') {
          if (tickets[action.index]?.cancel(now)) cancelled += 1;
        } else if (action.kind === 'finish') {
          pool.free += 1;
          if (!grants[action.index]?.finish(action.served, now)) pool.free -= 1;
        } else {
          now += action.ms;
          queue.pump(now);
        }
        await Promise.resolve();
        await Promise.resolve();
        const count = (kind: string) => settled.filter((each) => each === kind).length;
        expect(count('waiting')).toBe(queue.size);
        expect(count('cancelled')).toBe(cancelled);
        expect(count('granted')).toBe(pool.granted.length);
        expect(queue.size).toBeLessThanOrEqual(6);
      }
      queue.close(now);
      await Promise.resolve();
      await Promise.resolve();
      expect(settled).not.toContain('waiting');
    }),
    { seed, numRuns: 300 },
  );
});
