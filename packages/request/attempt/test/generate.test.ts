import { RetryBudget } from '@currantdrift/attempt';
import { expectedTokens, runScripts, type Script, type Step } from './scripted';

const tokens = (count: number, delayMs = 0): Step => ({ kind: 'tokens', count, delayMs });
const stream = (...steps: Step[]): Script => ({ open: 'ok', steps });
const completeStream = stream(tokens(5), { kind: 'end' });

// Guards against a broken or stalled stream that is not resumed at its offset on another replica.
test('resumes after a cut and after silence', async () => {
  const { clock, seen, groups, finish } = runScripts([
    stream(tokens(3), { kind: 'cut' }),
    stream(tokens(2, 10), { kind: 'stall' }),
    completeStream,
  ]);
  const outcome = await clock.settle(finish());
  expect({ outcome, groups, seen }).toMatchSnapshot();
});

// Guards against a forwarded request that repeats or loses tokens which the caller already has.
test('continues after the tokens that the caller has', async () => {
  const scripts = [stream(tokens(2), { kind: 'cut' }), completeStream];
  const { clock, groups, finish } = runScripts(scripts, {}, { resume: expectedTokens.slice(0, 4) });
  const outcome = await clock.settle(finish());
  expect(outcome).toMatchObject({ kind: 'answered', answer: { tokens: expectedTokens } });
  expect(groups.flat()).toEqual(expectedTokens.slice(4));
});

// Guards against an answer that is joined from the tokens of two software versions.
test('an answer goes on only at the software version that wrote its first tokens', async () => {
  const cut = { kind: 'cut' } as const;
  const { clock, bound, finish } = runScripts([
    { ...stream(cut), softwareVersion: 'v1' },
    { ...stream(tokens(3), cut), softwareVersion: 'v2' },
    { ...stream(cut), softwareVersion: 'v2' },
    { ...completeStream, softwareVersion: 'v2' },
  ]);
  await clock.settle(finish());
  // The first attempt wrote nothing, so it binds nothing.
  expect(bound).toEqual([undefined, undefined, 'v2', 'v2']);
});

test('tokens that another domain has delivered bind the answer to their version', async () => {
  const { clock, bound, finish } = runScripts(
    [{ ...completeStream, softwareVersion: 'v1' }],
    {},
    { resume: expectedTokens.slice(0, 4), softwareVersion: 'v1' },
  );
  await clock.settle(finish());
  expect(bound).toEqual(['v1']);
});

// Guards against hedges that delay the answer, leave the losing attempt running or mix two answers.
test('a late first token starts a hedge, and the losing attempt is cancelled', async () => {
  const { clock, seen, finish } = runScripts(
    [stream(tokens(3, 90), { kind: 'end' }), completeStream],
    {
      hedgeAfterMs: 20,
    },
  );
  const outcome = await clock.settle(finish());
  expect(outcome.kind).toBe('answered');
  expect(clock.now()).toBeLessThan(40);
  expect(seen).toMatchObject({ cancelled: [1], released: ['overloaded', 'succeeded'] });
});

// Guards against hedging a non-repeatable request, and against hedges beyond the retry budget.
test.each([
  ['not repeatable', { repeatable: false }, RetryBudget.create()],
  ['no budget', {}, RetryBudget.create({ minRetries: 0, minRetriesPerSecond: 0 })],
])('does not hedge or retry: %s', async (_, overrides, budget) => {
  const slowStream = stream(tokens(3, 90), { kind: 'cut' });
  const { clock, seen, finish } = runScripts(
    [slowStream, completeStream],
    { hedgeAfterMs: 20 },
    overrides,
    budget,
  );
  expect((await clock.settle(finish())).kind).toBe('unknown');
  expect(seen.opened).toBe(1);
});

// Guards against a slow caller that exhausts memory or makes its endpoint count as stalled.
test('a slow caller pauses only its own stream', async () => {
  const steps = [1, 2, 3, 4, 5, 6].map(() => tokens(2));
  const { clock, run, seen } = runScripts([stream(...steps, { kind: 'end' })], {
    maxBufferedTokens: 4,
  });
  const reader = run.deltas[Symbol.asyncIterator]();
  await clock.advance(5_000);
  expect(seen.sent).toBeLessThanOrEqual(6);
  const groups: (readonly string[])[] = [];
  for (let next = await reader.next(); !next.done; next = await reader.next()) {
    groups.push(next.value);
    await clock.advance(500);
  }
  expect(groups.map((group) => group.length)).toEqual([4, 4, 4]);
  expect(seen.opened).toBe(1);
  expect((await run.outcome).kind).toBe('answered');
});

// Guards against an outcome that comes after the deadline because an endpoint is slow, or is wrong.
test.each([
  ['before any endpoint was found', [], 'notRun'],
  ['while an endpoint is silent', [stream({ kind: 'stall' })], 'unknown'],
])('ends at the deadline: %s', async (_, scripts, kind) => {
  const { clock, finish } = runScripts(scripts, { firstTokenTimeoutMs: 5_000 }, { deadline: 100 });
  const outcome = await clock.settle(finish(), 1);
  expect(clock.now()).toBeLessThanOrEqual(100);
  expect(outcome).toMatchObject({ kind, reason: { retryAfterMs: 1_000 } });
});

// Guards against endpoints that keep generating for a caller that disconnected.
test('a reader that stops early cancels the attempt', async () => {
  const { clock, run, seen } = runScripts([stream(tokens(2), tokens(2, 20), { kind: 'end' })]);
  for await (const group of run.deltas) if (group.length > 0) break;
  const outcome = await clock.settle(run.outcome);
  expect(outcome).toMatchObject({ kind: 'unknown', reason: { peer: 'caller' } });
  expect(seen).toMatchObject({ cancelled: [1], released: ['neutral'] });
});

/** Average number of attempts per request when all endpoints fail. */
const attemptsWhenAllFail = async (budget: RetryBudget) => {
  const requests = 200;
  let opened = 0;
  for (let index = 0; index < requests; index += 1) {
    const { clock, seen, finish } = runScripts(
      Array.from({ length: 6 }, () => stream({ kind: 'cut' })),
      { maxAttempts: 6 },
      {},
      budget,
    );
    await clock.settle(finish());
    opened += seen.opened;
  }
  return opened / requests;
};

// Guards against retries that multiply the load on failing endpoints. Without the budget, each
// request uses all of its attempts.
test('the retry budget limits the attempts when all endpoints fail', async () => {
  const bounded = await attemptsWhenAllFail(RetryBudget.create());
  const unbounded = await attemptsWhenAllFail(RetryBudget.create({ minRetries: 1e6, max: 1e6 }));
  expect({ bounded, unbounded }).toEqual({ bounded: 1.05, unbounded: 6 });
});

// Guards against a budget that grows by more than its share of the successes, or without limit.
test('the retry budget gains a tenth of the successes and a small minimum', () => {
  const budget = RetryBudget.create({ minRetries: 2, minRetriesPerSecond: 1, max: 5 });
  const available = [budget.available(0)];
  while (budget.withdraw(0));
  for (let index = 0; index < 20; index += 1) budget.deposit(0);
  available.push(budget.available(0));
  while (budget.withdraw(0));
  available.push(budget.available(60_000));
  for (let index = 0; index < 200; index += 1) budget.deposit(60_000);
  available.push(budget.available(60_000));
  expect(available).toEqual([2, 2, 2, 5]);
});
