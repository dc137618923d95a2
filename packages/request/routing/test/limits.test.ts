import fc from 'fast-check';
import type { Lease } from '@currantdrift/routing';
import { createBalancer, endpoint } from './pool';

/** Seed of the property tests; fuzz runs set `FUZZ_SEED`. */
const seed = Number(process.env.FUZZ_SEED ?? 1);

const names = ['a', 'b', 'c', 'd'];

const step = fc.oneof(
  fc.record({
    kind: fc.constant('acquire' as const),
    tried: fc.subarray(names, { maxLength: 2 }),
    candidates: fc.subarray(names, { minLength: 1 }),
  }),
  fc.record({
    kind: fc.constant('release' as const),
    index: fc.nat(30),
    result: fc.constantFrom('succeeded', 'failed', 'failed', 'overloaded', 'neutral'),
    latencyMs: fc.integer({ min: 1, max: 2_000 }),
  }),
  fc.record({ kind: fc.constant('leave' as const), name: fc.constantFrom(...names) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 8_000 }) }),
);

// Guards against leases beyond a limit, on leaving or ejected endpoints, or released twice. The
// reference model counts leases itself and reads only limits and ejections from the balancer.
test('leases follow a sequential reference model of the limits', () => {
  const property = fc.property(
    fc.array(step, { maxLength: 120 }),
    fc.nat(1_000),
    (steps, drawn) => {
      const { balancer } = createBalancer(drawn, { initialLimit: 3, consecutiveFailures: 2 });
      const leases: { lease: Lease; held: boolean }[] = [];
      const leaving = new Set<string>();
      const inFlight = new Map(names.map((name) => [name, 0]));
      const add = (name: string, by: number) => inFlight.set(name, (inFlight.get(name) ?? 0) + by);
      const view = (name: string) =>
        endpoint(name, { state: leaving.has(name) ? 'leaving' : 'live', slots: 8 });
      let now = 0;
      balancer.freeCapacity(names.map(view), now);
      steps.forEach((one) => {
        if (one.kind === 'wait') now += one.ms;
        else if (one.kind === 'leave') leaving.add(one.name);
        else if (one.kind === 'acquire') {
          const status = new Map(balancer.status(now).map((each) => [each.endpoint, each]));
          const left = one.candidates.filter(
            (name) => !one.tried.includes(name) && !leaving.has(name),
          );
          const healthy = left.filter((name) => status.get(name)?.ejectedUntil === undefined);
          const allowed = (healthy.length > 0 ? healthy : left).filter(
            (name) => (inFlight.get(name) ?? 0) < (status.get(name)?.limit ?? 0),
          );
          const request = { candidates: one.candidates.map(view), tried: one.tried };
          const lease = balancer.acquire(request, now);
          if (lease.isOk()) {
            expect(allowed).toContain(lease.value.endpoint);
            add(lease.value.endpoint, 1);
            leases.push({ lease: lease.value, held: true });
          } else {
            expect(allowed).toEqual([]);
            expect(lease.error.kind).toBe(left.length === 0 ? 'none' : 'busy');
          }
        } else if (leases[one.index] !== undefined) {
          const { lease, held } = leases[one.index];
          lease.observe(one.latencyMs, now);
          expect(lease.release(one.result, now)).toBe(held);
          if (held) add(lease.endpoint, -1);
          leases[one.index].held = false;
        }
        const status = balancer.status(now);
        status.forEach((each) => expect(each.inFlight).toBe(inFlight.get(each.endpoint)));
        const ejected = status.filter((each) => each.ejectedUntil !== undefined);
        expect(ejected.length).toBeLessThanOrEqual(2);
      });
    },
  );
  fc.assert(property, { seed, numRuns: 500 });
});

/** Keeps an endpoint at its limit (closed loop); returns the limit every 5 s. */
const runClosedLoop = (latency: (inFlight: number, now: number) => number, untilMs: number) => {
  const { balancer } = createBalancer(1);
  const state = endpoint('a', { slots: 64 });
  let running: { end: number; startedAt: number; lease: Lease }[] = [];
  const limits: number[] = [];
  for (let now = 0; now <= untilMs; now += 10) {
    const done = running.filter((one) => one.end <= now);
    running = running.filter((one) => one.end > now);
    done.forEach((one) => {
      one.lease.observe(now - one.startedAt, now);
      one.lease.release('succeeded', now);
    });
    for (;;) {
      const lease = balancer.acquire({ candidates: [state] }, now);
      if (lease.isErr()) break;
      const end = now + latency(running.length + 1, now);
      running.push({ end, startedAt: now, lease: lease.value });
    }
    if (now % 5_000 === 0) limits.push(balancer.status(now)[0].limit);
  }
  return limits;
};

// Guards against a limit that ignores latency, or that never recovers after the endpoint does.
test('the limit falls when latency grows, and recovers with the endpoint', () => {
  // 20 slots of 100 ms each; only 4 from 20 s to 40 s.
  const latency = (inFlight: number, now: number) =>
    100 * Math.max(1, inFlight / (now >= 20_000 && now < 40_000 ? 4 : 20));
  const limits = runClosedLoop(latency, 60_000);
  expect(limits).toMatchSnapshot();
  expect(Math.min(...limits.slice(5, 8))).toBeLessThan(20);
  expect(limits.at(-1)).toBeGreaterThanOrEqual(20);
});

// Guards against a failed endpoint that keeps its traffic, that regains all of it at once, or that
// regains it without having answered.
test('an ejected endpoint returns gradually, and is ejected longer after each failure', () => {
  const { balancer } = createBalancer();
  const candidates = [endpoint('a'), endpoint('b')];
  const fail = (now: number) => {
    const lease = balancer.acquire({ candidates, tried: ['b'] }, now)._unsafeUnwrap();
    lease.release('failed', now);
  };
  const answer = (now: number, count: number) => {
    for (let index = 0; index < count; index += 1) {
      const lease = balancer.acquire({ candidates, tried: ['b'] }, now)._unsafeUnwrap();
      lease.observe(100, now + 100);
      lease.release('succeeded', now + 100);
    }
  };
  const describeState = (now: number) => {
    const [a] = balancer.status(now);
    return `${now}: limit ${a.limit}, ejected until ${a.ejectedUntil ?? '-'}`;
  };
  balancer.freeCapacity(candidates, 0);
  for (let index = 0; index < 5; index += 1) fail(0);
  const seen = [describeState(0), describeState(5_000), describeState(9_000)];
  answer(9_000, 3);
  seen.push(describeState(10_000));
  fail(10_000);
  seen.push(describeState(10_000), describeState(20_000), describeState(25_000));
  answer(25_000, 3);
  seen.push(describeState(26_000));
  answer(26_000, 4);
  seen.push(describeState(30_000));
  expect(seen).toMatchSnapshot();
});

// Guards against an unresponsive endpoint that is never ejected because every caller's deadline
// passes before the timeout after which an endpoint counts as failed.
test('an endpoint that is overloaded at its lowest limit is ejected', () => {
  const { balancer } = createBalancer();
  const candidates = [endpoint('a'), endpoint('b')];
  balancer.freeCapacity(candidates, 0);
  for (let now = 0; now < 4_000; now += 250) {
    const lease = balancer.acquire({ candidates, tried: ['b'] }, now)._unsafeUnwrap();
    lease.release('overloaded', now);
  }
  expect(balancer.status(4_000).map((one) => one.ejectedUntil !== undefined)).toEqual([
    true,
    false,
  ]);
});
