// Guards against a booking that runs twice, and against refusing one that ran, when several daemons
// share a store. Answers are lost, the store fails, writes conflict, and daemons freeze or die.
import fc from 'fast-check';
import { type BookingResult, claimLifetimeMs, dispatchWindowMs } from '../src';
import type { Protections } from '../src/protections';
import { seed, type SendBehavior, TestCluster } from './support';

interface Booking {
  readonly at: number;
  readonly daemon: number;
  readonly key: string;
  readonly body: string;
  readonly sending: SendBehavior;
}

/** Faults of the connection from a daemon to the store. */
interface Link {
  readonly latencyMs: number;
  /** Whether the answer of each store call is lost, in order. */
  readonly lost: readonly boolean[];
  /** Whether each write times out and takes effect only afterwards, in order. */
  readonly delayedWrites: readonly boolean[];
}

interface Plan {
  readonly bookings: readonly Booking[];
  readonly links: readonly Link[];
  readonly outages: readonly {
    readonly daemon: number;
    readonly at: number;
    readonly ms: number;
  }[];
  readonly freezes: readonly {
    readonly daemon: number;
    readonly at: number;
    readonly ms: number;
  }[];
  readonly killAt: readonly number[];
  readonly requestTimeoutMs?: number;
}

const daemonCount = 3;
const daemonIndex = fc.nat(daemonCount - 1);
const pastExpiryMs = claimLifetimeMs + 60_000;
const at = fc.oneof(
  { weight: 6, arbitrary: fc.nat(60) },
  { weight: 2, arbitrary: fc.nat(4_000) },
  { weight: 2, arbitrary: fc.nat(2_000).map((ms) => pastExpiryMs + ms) },
);

const plans: fc.Arbitrary<Plan> = fc.record({
  bookings: fc.array(
    fc.record({
      at,
      daemon: daemonIndex,
      key: fc.constantFrom('k', 'k', 'l'),
      body: fc.constantFrom('body', 'body', 'body', 'other'),
      sending: fc.constantFrom<SendBehavior>(
        'ok',
        'ok',
        'ok',
        'unreachable',
        'lost',
        'lost_before',
      ),
    }),
    { minLength: 1, maxLength: 8 },
  ),
  links: fc.array(
    fc.record({
      latencyMs: fc.constantFrom(0, 2, 10, 40),
      lost: fc.array(fc.boolean(), { maxLength: 8 }),
      delayedWrites: fc.array(fc.boolean(), { maxLength: 4 }),
    }),
    { minLength: daemonCount, maxLength: daemonCount },
  ),
  outages: fc.array(
    fc.record({ daemon: daemonIndex, at: fc.nat(100), ms: fc.constantFrom(20, 300, 9_000) }),
    { maxLength: 2 },
  ),
  freezes: fc.array(
    fc.record({
      daemon: daemonIndex,
      at: fc.nat(80),
      ms: fc.constantFrom(5_000, 30_000, pastExpiryMs, pastExpiryMs + 1_000),
    }),
    { maxLength: 2 },
  ),
  killAt: fc.array(fc.oneof(fc.nat(20), fc.constant(Infinity)), {
    minLength: daemonCount,
    maxLength: daemonCount,
  }),
});

const runPlan = async (plan: Plan, protections: Partial<Protections>) => {
  const cluster = new TestCluster();
  cluster.requestTimeoutMs = plan.requestTimeoutMs ?? cluster.requestTimeoutMs;
  const { clock } = cluster;
  const daemons = plan.links.map(({ latencyMs, lost, delayedWrites }, index) => {
    const remaining = [...delayedWrites];
    const isDelayed = () => remaining.shift() ?? false;
    const daemon = cluster.daemon('abc'[index], { protections }, isDelayed);
    let call = 0;
    Object.assign(daemon.faults, {
      latencyMs,
      losesAnswer: () => {
        call += 1;
        return lost[call - 1] ?? false;
      },
    });
    daemon.gate.killAt = plan.killAt[index];
    return daemon;
  });
  const answers: (BookingResult | undefined)[] = plan.bookings.map(() => undefined);
  const start = async (booking: Booking, index: number) => {
    await clock.sleep(booking.at);
    const { key, body, sending, daemon } = booking;
    answers[index] = await daemons[daemon].book(key, body, index, sending);
  };
  plan.bookings.forEach((booking, index) => {
    start(booking, index).catch(() => {});
  });
  plan.outages.forEach(async (outage) => {
    const { faults } = daemons[outage.daemon];
    await clock.sleep(outage.at);
    faults.down = true;
    await clock.sleep(outage.ms);
    faults.down = false;
  });
  plan.freezes.forEach(async (freeze) => {
    await clock.sleep(freeze.at);
    daemons[freeze.daemon].gate.pause(clock, freeze.ms);
  });
  await clock.advance(pastExpiryMs + 120_000);
  return { cluster, answers };
};

/** Checks the answers against the list of bookings that the service ran. */
const checkPlan = async (plan: Plan, { cluster, answers }: Awaited<ReturnType<typeof runPlan>>) => {
  const { runs, clock } = cluster;
  runs.forEach((run, index) => {
    const earlier = runs.slice(0, index).filter(({ key }) => key === run.key);
    earlier.forEach((other) =>
      expect(run.at - other.at).toBeGreaterThan(claimLifetimeMs - dispatchWindowMs),
    );
  });
  answers.forEach((answer, index) => {
    const { key, body } = plan.bookings[index];
    const own = runs.filter(({ request }) => request === index);
    const others = plan.bookings.filter((other) => other.key === key && other.body !== body);
    if (answer?.kind === 'refused' || answer?.kind === 'not_run') expect(own).toEqual([]);
    if (answer?.kind === 'answered') expect(own.map((run) => run.answer)).toEqual([answer.answer]);
    if (answer?.kind === 'conflict' && answer.reason === 'other_body') {
      expect(others.length).toBeGreaterThan(0);
    }
    if (answer?.kind === 'repeat' && answer.state === 'done') {
      const texts = runs.filter((run) => run.key === key).map((run) => run.answer.body);
      const { body: kept } = answer.outcome;
      expect(texts.map((text) => Buffer.from(text).toString('base64'))).toContain(kept);
    }
  });
  // A new daemon on a healthy store does not run a booking again within the claim lifetime.
  const fresh = cluster.daemon('z');
  for (const key of ['k', 'l']) {
    const before = runs.filter((run) => run.key === key && clock.now() - run.at < claimLifetimeMs);
    const answer = await clock.settle(fresh.book(key, 'body', 99));
    if (before.length > 0) expect(answer.kind).not.toBe('answered');
  }
};

const property = (protections: Partial<Protections>) =>
  fc.asyncProperty(plans, async (plan) => checkPlan(plan, await runPlan(plan, protections)));

test('each key runs at most once, and what is refused did not run', async () => {
  await fc.assert(property({}), { seed, numRuns: 250 });
}, 120_000);

const noKills = [Infinity, Infinity, Infinity];
const link = (latencyMs: number, ...lost: boolean[]) => ({ latencyMs, lost, delayedWrites: [] });
const booking = (daemon: number, ms: number): Booking => ({
  at: ms,
  daemon,
  key: 'k',
  body: 'body',
  sending: 'ok',
});
const noFaults = { outages: [], freezes: [], killAt: noKills };

/** For each protection, a plan in which nothing else prevents a second run. */
const racePlans: Record<keyof Protections, Plan> = {
  // Daemon b claims the key first, and the answer that reports the conflict to a is lost.
  nonceReRead: {
    ...noFaults,
    bookings: [booking(0, 0), booking(1, 21)],
    links: [link(40, false, true), link(0), link(0)],
  },
  // Both daemons read the bucket before either has written its claim.
  claimBeforeDispatch: {
    ...noFaults,
    bookings: [booking(0, 0), booking(1, 0)],
    links: [link(10), link(10), link(0)],
  },
  // Daemon a freezes with a confirmed claim and resumes after the claim has expired. The deadline
  // is later still, because a request past its deadline is refused without this check.
  checkBeforeDispatch: {
    ...noFaults,
    bookings: [booking(0, 0), booking(1, pastExpiryMs)],
    links: [link(10), link(0), link(0)],
    freezes: [{ daemon: 0, at: 11, ms: pastExpiryMs + 1_000 }],
    requestTimeoutMs: 2 * pastExpiryMs,
  },
};

test.each(Object.entries(racePlans))('without %s a booking runs twice', async (name, plan) => {
  await checkPlan(plan, await runPlan(plan, {}));
  const unprotected = await runPlan(plan, { [name]: false });
  expect(unprotected.cluster.runs.length).toBe(2);
  await expect(checkPlan(plan, unprotected)).rejects.toThrow(/toBeGreaterThan/);
});

test('a daemon killed at any step leaves a key that runs at most once', async () => {
  const kinds: string[] = [];
  for (let step = 0; step <= 14; step += 1) {
    const cluster = new TestCluster();
    const [a, b] = [cluster.daemon('a'), cluster.daemon('b', { isGone: (name) => name === 'a' })];
    a.gate.killAt = step;
    a.book('k', 'body', 1).catch(() => {});
    await cluster.clock.advance(1_000);
    const first = await cluster.clock.settle(b.book('k', 'body', 2));
    await cluster.clock.advance(20_000);
    const second = await cluster.clock.settle(b.book('k', 'body', 3));
    const shown = [first, second].map((answer) =>
      answer.kind === 'repeat' ? answer.state : answer.kind,
    );
    kinds.push(`${step}: ${shown.join(', ')}; ${cluster.runs.length} runs`);
    expect(cluster.runs.length).toBeLessThanOrEqual(1);
  }
  expect(kinds).toMatchSnapshot();
});
