import type { Endpoint, Failure, Generation, StreamPart } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import { generate, RetryBudget } from '@currantdrift/attempt';

const parts = (
  generation: Generation,
  tokens: readonly string[],
): Result<StreamPart, Failure>[] => {
  const { requestId, attempt } = generation;
  return [
    ok({ kind: 'tokens', requestId, attempt, offset: 0, tokens }),
    ok({ kind: 'end', requestId, attempt, offset: tokens.length, finishReason: 'stop' }),
  ];
};

// Guards against a runner that loses tokens or the end of an undisturbed stream.
test('an undisturbed stream is delivered whole', async () => {
  const clock = VirtualClock.create();
  const released: string[] = [];
  const endpoint = {
    id: 'engine-1',
    generate: async (generation: Generation) =>
      ok(
        (async function* stream() {
          yield* parts(generation, ['a', 'b']);
        })(),
      ),
    cancel: async () => {},
  } as unknown as Endpoint;
  const run = generate(
    {
      requestId: 'r',
      item: 'm@1',
      messages: [],
      maxTokens: 10,
      priority: 5,
      deadline: 1000,
    },
    {
      clock,
      budget: RetryBudget.create(),
      choose: (tried) =>
        tried.length === 0
          ? ok({ endpoint, place: { observe() {}, release: (result) => released.push(result) } })
          : err({ step: 'choose', peer: 'self', message: 'none' }),
    },
  );
  const got: string[] = [];
  const read = async () => {
    for await (const tokens of run.deltas) got.push(...tokens);
    return run.outcome;
  };
  const outcome = await clock.settle(read());
  expect({ outcome, got, released }).toMatchObject({
    outcome: { kind: 'answered', answer: { tokens: ['a', 'b'], finishReason: 'stop' } },
    got: ['a', 'b'],
    released: ['succeeded'],
  });
});
