import {
  type Endpoint,
  type Failure,
  type FailureKind,
  type GenerationRequest,
  type StreamPart,
} from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import {
  type AttemptEvent,
  generate,
  type GenerateRequest,
  RetryBudget,
  type RunnerOptions,
} from '@currantdrift/attempt';

/**
 * Next action of an endpoint in a stream. `late` sends a token of the previous attempt, `crossed` one
 * of another request; both carry the expected offset, so that only the identity check can reject them.
 */
export type Step =
  | { readonly kind: 'tokens'; readonly count: number; readonly delayMs: number }
  | { readonly kind: 'repeat' | 'late' | 'crossed' | 'gap' | 'cut' | 'refuse' | 'stall' | 'end' };

/** Behaviour of an endpoint in one attempt: the result of opening the stream, and its steps. */
export interface Script {
  readonly open: 'ok' | FailureKind;
  readonly steps: readonly Step[];
  /** Software version of the endpoint; undefined if it is not stated. */
  readonly softwareVersion?: string;
}

export const expectedTokens = Array.from({ length: 12 }, (_, index) => `t${index}`);

export const failure = (kind: FailureKind): Failure => ({
  kind,
  step: 'test',
  peer: 'engine',
  message: kind,
});

/** Runs a request with one script per attempt and records what ran and what was released. */
export const runScripts = (
  scripts: readonly Script[],
  settings: RunnerOptions['settings'] = {},
  overrides: Partial<GenerateRequest> = {},
  budget = RetryBudget.create({ minRetries: 100 }),
) => {
  const clock = VirtualClock.create();
  const seen = {
    ran: 0,
    sent: 0,
    released: [] as string[],
    opened: 0,
    cancelled: [] as number[],
    dropped: [] as string[],
    events: [] as AttemptEvent[],
  };
  async function* stream(
    generation: GenerationRequest,
    steps: readonly Step[],
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const { requestId, attempt } = generation;
    let cursor = generation.resume.length;
    const part = (offset: number, tokens: readonly string[], ids = {}) =>
      ok<StreamPart>({ kind: 'tokens', requestId, attempt, offset, tokens, ...ids });
    for (const step of steps) {
      if (step.kind === 'tokens') {
        if (step.delayMs > 0) await clock.sleep(step.delayMs);
        yield part(cursor, expectedTokens.slice(cursor, cursor + step.count));
        cursor = Math.min(expectedTokens.length, cursor + step.count);
        seen.sent = cursor;
      } else if (step.kind === 'repeat') yield part(0, expectedTokens.slice(0, cursor));
      else if (step.kind === 'late') yield part(cursor, ['late'], { attempt: attempt - 1 });
      else if (step.kind === 'crossed') yield part(cursor, ['crossed'], { requestId: 'other' });
      else if (step.kind === 'gap') yield part(cursor + 1, ['gap']);
      else if (step.kind === 'cut') yield err(failure('unknown'));
      else if (step.kind === 'refuse') yield err(failure('refused'));
      else if (step.kind === 'stall') await new Promise(() => {});
      else {
        yield part(cursor, expectedTokens.slice(cursor));
        yield ok({
          kind: 'end',
          requestId,
          attempt,
          offset: expectedTokens.length,
          finishReason: 'stop',
        });
      }
    }
  }
  const endpoint = (index: number) =>
    ({
      id: `engine-${index}`,
      generate: async (generation: GenerationRequest) => {
        const { open, steps } = scripts[index];
        const firstOwnStep = steps.find(({ kind }) => kind !== 'late' && kind !== 'crossed');
        if (open !== 'refused' && open !== 'unreachable' && firstOwnStep?.kind !== 'refuse')
          seen.ran += 1;
        return open === 'ok' ? ok(stream(generation, steps)) : err(failure(open));
      },
      cancel: async (_: string, attempt: number) => {
        seen.cancelled.push(attempt);
      },
    }) as unknown as Endpoint;
  const request: GenerateRequest = {
    requestId: 'mine',
    item: 'm@1',
    messages: [],
    maxTokens: expectedTokens.length,
    priority: 5,
    deadline: 60_000,
    ...overrides,
  };
  /** Software version that each choice was bound to. */
  const bound: (string | undefined)[] = [];
  const run = generate(request, {
    clock,
    budget,
    settings: { progressTimeoutMs: 50, firstTokenTimeoutMs: 100, maxAttempts: 100, ...settings },
    observer: (event) => seen.events.push(event),
    onDropped: (reason) => seen.dropped.push(reason),
    choose: (_tried, _signal, { softwareVersion }) => {
      const index = seen.opened;
      bound.push(softwareVersion);
      if (index >= scripts.length) return err({ step: 'choose', peer: 'self', message: 'none' });
      seen.opened += 1;
      const release = (result: string) => seen.released.push(result);
      return ok({
        endpoint: endpoint(index),
        lease: { observe() {}, release },
        softwareVersion: () => scripts[index].softwareVersion,
      });
    },
  });
  const groups: (readonly string[])[] = [];
  const finish = async () => {
    for await (const tokens of run.deltas) groups.push(tokens);
    return run.outcome;
  };
  return { clock, run, seen, groups, bound, finish };
};
