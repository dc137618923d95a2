import { VirtualClock } from '@currantdrift/fakes';
import { type QuotaAnswer, QuotaLeases, type QuotaQuestion } from '../src';
import { tokenQuota } from './fleet';

type Asked = Omit<QuotaQuestion, 'member'>;

/** Leases whose questions are answered by `answer` after 10 ms. */
const create = (answer: (question: Asked, rank: number) => QuotaAnswer) => {
  const clock = VirtualClock.create(1_000);
  const questions: { rank: number; costs: readonly number[]; unused: number }[] = [];
  const state = { stalledMs: 0 };
  const leases = QuotaLeases.create({
    clock,
    ageMs: (since, now) => now - since + state.stalledMs,
    issuer: {
      ask: async (_, question, rank) => {
        questions.push({ rank, costs: question.costs, unused: question.unused });
        await clock.sleep(10);
        return answer(question, rank);
      },
      giveBack: () => {},
    },
  });
  const take = (cost: number) => clock.settle(leases.take('acme', tokenQuota(1_000), cost));
  return { clock, leases, questions, state, take };
};

const granted = ({ costs }: Asked, ahead = 0): QuotaAnswer => ({
  issuer: 'h2',
  decision: { kind: 'decided', role: 'owner', grant: 1, waitsMs: costs.map(() => 0), ahead },
});

// Guards against a question for each request of a burst.
test('requests that arrive during a question share the next one', async () => {
  const { clock, leases, questions } = create((question) => granted(question));
  const all = [1, 2, 3].map((cost) => leases.take('acme', tokenQuota(1_000), cost));
  await clock.settle(Promise.all(all));
  expect(questions.map(({ costs }) => costs)).toEqual([[1], [2, 3]]);
});

test('requests are served from the lease, whose rest goes back with the next question', async () => {
  const { questions, take } = create((question) => granted(question, 100));
  const taken = [await take(50), await take(80), await take(30)];
  expect(taken.every((one) => one.isOk())).toBe(true);
  expect(questions).toEqual([
    { rank: 0, costs: [50], unused: 0 },
    { rank: 0, costs: [30], unused: 20 },
  ]);
});

// Guards against tokens that are used long after they were granted, by a process that was frozen.
test('a lease does not outlive a freeze', async () => {
  const { questions, state, take } = create((question) => granted(question, 100));
  await take(50);
  state.stalledMs = 2_000;
  await take(50);
  expect(questions[0]).toMatchObject({ rank: 0, unused: 0 });
  expect(questions).toHaveLength(3);
});

// Guards against a wait for a failed owner at each request.
test('while the owner is silent the stand-in is asked at once', async () => {
  const { questions, take } = create((question, rank) =>
    rank === 0 ? 'silent' : granted(question),
  );
  await take(1);
  await take(1);
  expect(questions.map(({ rank }) => rank)).toEqual([0, 1, 1]);
});

test('without an owner and a stand-in a request is refused, but not for its quota', async () => {
  const { take } = create(() => 'silent');
  expect((await take(1))._unsafeUnwrapErr()).toMatchObject({ kind: 'unreachable' });
});
