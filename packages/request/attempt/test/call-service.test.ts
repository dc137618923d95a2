import {
  type Endpoint,
  type Failure,
  FailureKind,
  type ServiceCallResponse,
} from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import { callService, NotRun, RetryBudget, UnsentAttempt } from '@currantdrift/attempt';
import { failure } from './scripted';

const answer: ServiceCallResponse = {
  status: 200,
  contentType: 'text/plain',
  body: new Uint8Array(),
};

/** Runs a call against endpoints that give one of `replies` each; `silent` never replies. */
const callThrough = async (repeatable: boolean, replies: ('ok' | 'silent' | FailureKind)[]) => {
  const clock = VirtualClock.create();
  const used: string[] = [];
  const reply = (kind: (typeof replies)[number]): Promise<Result<ServiceCallResponse, Failure>> => {
    if (kind === 'silent') return new Promise(() => {});
    return Promise.resolve(kind === 'ok' ? ok(answer) : err(failure(kind)));
  };
  const call = { requestId: 'r', service: 'stock', call: 'list', method: 'GET', query: '' };
  const outcome = callService(
    { call: { ...call, contentType: '', body: new Uint8Array() }, repeatable, deadline: 8_000 },
    {
      clock,
      budget: RetryBudget.create(),
      choose: (tried) => {
        const kind = replies[tried.length];
        if (kind === undefined) return err({ step: 'choose', peer: 'self', message: 'none' });
        const endpoint = { id: `${tried.length}`, call: () => reply(kind) } as unknown as Endpoint;
        const release = (result: string) => used.push(`${kind}: ${result}`);
        return ok({ endpoint, lease: { observe() {}, release } });
      },
    },
  );
  const { kind } = await clock.settle(outcome);
  return { kind, used };
};

// Guards against running a non-repeatable call twice, and against reporting `notRun` for a call that
// may have run.
test.each([
  [true, ['refused', 'unknown', 'ok']],
  [true, ['refused', 'unreachable']],
  [true, ['unknown', 'refused']],
  [true, ['silent', 'ok']],
  [false, ['unreachable', 'ok']],
  [false, ['refused', 'ok']],
  [false, ['unknown', 'ok']],
  [false, ['invalid', 'ok']],
  [false, ['silent', 'ok']],
] as const)('repeatable %s, replies %j', async (repeatable, replies) => {
  expect(await callThrough(repeatable, [...replies])).toMatchSnapshot();
});

// Guards against a NotRun that is constructed without proof that nothing ran.
test('only an unsent attempt or a refusal gives a NotRun', () => {
  const reason = { step: 's', peer: 'p', message: 'm' };
  const unsent = UnsentAttempt.create('r');
  expect(NotRun.is(UnsentAttempt.create('r').abandon(reason))).toBe(true);
  const sent = unsent.dispatch();
  expect(unsent.dispatch()).toBeUndefined();
  expect(unsent.abandon(reason).kind).toBe('unknown');
  const kinds = Object.values(FailureKind).map((kind) => [
    kind,
    sent?.outcomeOf(failure(kind)).kind,
  ]);
  expect(Object.fromEntries(kinds)).toMatchSnapshot();
  // @ts-expect-error -- the constructor is private
  const forge = () => new NotRun(reason);
  // @ts-expect-error -- the class has a private field, so an object literal does not match
  const copy: NotRun = { kind: 'notRun', reason };
  expect([typeof forge, NotRun.is(copy)]).toEqual(['function', false]);
});
