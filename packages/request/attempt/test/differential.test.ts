import fc from 'fast-check';
import { allPartChecks, type AttemptSettings } from '@currantdrift/attempt';
import { expectedTokens, runScripts, type Script } from './scripted';

/** Seed of the property tests; a fuzz run sets other seeds. */
const seed = Number(process.env.FUZZ_SEED ?? 1);

const tokens = fc.record({
  kind: fc.constant('tokens' as const),
  count: fc.integer({ min: 0, max: 5 }),
  // No sum of these equals a timeout of `runScripts`, which would make the order of events ambiguous.
  delayMs: fc.constantFrom(0, 0, 11, 46, 127),
});

const fault = fc.record({
  kind: fc.constantFrom('repeat', 'late', 'crossed', 'gap', 'cut', 'refuse', 'stall', 'end'),
}) as fc.Arbitrary<Script['steps'][number]>;

const scripts: fc.Arbitrary<Script[]> = fc.array(
  fc.record({
    open: fc.constantFrom('ok', 'ok', 'ok', 'refused', 'unreachable', 'unknown', 'invalid'),
    steps: fc.array(fc.oneof(tokens, fault), { maxLength: 7 }),
  }),
  { maxLength: 6 },
);

/** Reference model: tokens delivered and outcome if the attempts run one after another. */
const reference = (attempts: readonly Script[]) => {
  let offset = 0;
  let kind = 'notRun';
  for (const { open, steps } of attempts) {
    if (open === 'refused' || open === 'unreachable') continue;
    let silentMs = 0;
    let limitMs = 100;
    let hasReceivedPart = false;
    let end = open === 'ok' ? '' : 'failed';
    for (const step of steps) {
      if (end !== '') break;
      if (step.kind === 'tokens') {
        silentMs += step.delayMs;
        if (silentMs > limitMs) end = 'failed';
        const next = end === '' ? Math.min(expectedTokens.length, offset + step.count) : offset;
        if (next > offset) [silentMs, limitMs, offset] = [0, 50, next];
      } else if (step.kind === 'end') return { offset: expectedTokens.length, kind: 'answered' };
      else if (step.kind === 'refuse' && !hasReceivedPart) end = 'refused';
      else if (!['repeat', 'late', 'crossed'].includes(step.kind)) end = 'failed';
      hasReceivedPart ||= step.kind === 'tokens' || step.kind === 'repeat';
    }
    if (end !== 'refused') kind = 'unknown';
  }
  return { offset, kind };
};

const replay = async (
  attempts: readonly Script[],
  settings: Partial<AttemptSettings>,
  deadline: number,
) => {
  const { clock, seen, groups, finish } = runScripts(attempts, settings, { deadline });
  const outcome = await clock.settle(finish(), 25);
  const delivered = groups.flat();
  expect(delivered).toEqual(expectedTokens.slice(0, delivered.length));
  if (outcome.kind === 'answered')
    expect([delivered, outcome.answer.tokens]).toEqual([expectedTokens, expectedTokens]);
  else expect(outcome.reason.retryAfterMs).toBeGreaterThan(0);
  if (outcome.kind === 'notRun') expect([seen.ran, delivered]).toEqual([0, []]);
  // Attempts that lost to a hedge, and targets chosen too late, are released after the outcome.
  await clock.advance(1_000);
  expect(seen.released).toHaveLength(seen.opened);
  return { offset: delivered.length, kind: outcome.kind };
};

const matchesReference = (settings: Partial<AttemptSettings> = {}) =>
  fc.asyncProperty(scripts, async (attempts) => {
    expect(await replay(attempts, settings, 60_000)).toEqual(reference(attempts));
  });

// Guards against truncated or mixed answers and wrong outcomes, for any sequence of events.
test('random histories end as in the sequential reference model', async () => {
  await fc.assert(matchesReference(), { seed, numRuns: 300 });
});

// Guards against truncated or mixed answers when deadlines and hedges make the order of attempts vary.
test('with deadlines and hedges the delivered text and the outcome stay correct', async () => {
  const property = fc.asyncProperty(
    scripts,
    fc.constantFrom(undefined, 5, 40),
    fc.constantFrom(3, 60, 150, 60_000),
    async (attempts, hedgeAfterMs, deadline) => {
      await replay(attempts, { hedgeAfterMs }, deadline);
    },
  );
  await fc.assert(property, { seed, numRuns: 300 });
});

// Guards against property tests that would also pass without the part checks.
test.each([{ identity: false }, { offset: false }])(
  'the property fails with the part checks %j',
  async (disabled) => {
    const checks = { ...allPartChecks, ...disabled };
    const details = await fc.check(matchesReference({ checks }), {
      seed,
      numRuns: 300,
      endOnFailure: true,
    });
    expect(details.failed).toBe(true);
  },
);
