import { type AnswerFaults, noAnswerFaults } from '@currantdrift/fakes';
import { nextBundle } from './deployment';
import type { stepTemplates } from './language';
import { numberOf, type Step, wordOf } from './scenario';
import type { World } from './world';

/** Template without its optional parts. */
type Bare<T extends string> = T extends `${infer Head} [${string}]${infer Tail}`
  ? Bare<`${Head}${Tail}`>
  : T;

type Action = (world: World, step: Step) => Promise<void> | void;

const defaultDeadlineMs = 30_000;

const defaultTokens = 16;

const rollout: Action = async (world, step) => {
  const { clock, history, operators, scenario } = world;
  const { node, process } = world.daemon(wordOf(step, 'daemon'));
  const label = wordOf(step, 'bundle');
  const proposer = wordOf(step, 'a');
  const before = node.bundle()?.bundle;
  const note = (kind: string) => {
    history.rollouts.push({ label, at: clock.now(), kind });
    history.note(clock.now(), `rollout of ${label}: ${kind}`);
  };
  if (before === undefined) {
    note('refused');
    return;
  }
  const signed = operators.sign(nextBundle(scenario, before, label), proposer, wordOf(step, 'b'));
  const outcome = await process.gate(() => node.rollout(signed, proposer));
  note(outcome.kind);
};

const burst: Action = async (world, step) => {
  const count = numberOf(step, 'count');
  const daemons = world.openDaemons(wordOf(step, 'place'));
  if (daemons.length === 0) return;
  const call = {
    model: wordOf(step, 'model'),
    caller: String(step.values.caller ?? world.deployment.callers[0]),
    deadlineMs: Number(step.values.time ?? defaultDeadlineMs),
    tokens: Number(step.values.tokens ?? defaultTokens),
    // Earlier messages of the conversation, separated by plus signs.
    parts: step.values.parts === undefined ? [] : String(step.values.parts).split('+'),
    question: step.values.question === undefined ? undefined : String(step.values.question),
  };
  const daemonOf = (index: number) => daemons[index % daemons.length];
  await Promise.all(
    Array.from({ length: count }, (_, index) => world.callers.chat(daemonOf(index), call)),
  );
};

const book: Action = async (world, step) => {
  await world.callers.book(world.daemon(wordOf(step, 'daemon')), {
    service: wordOf(step, 'service'),
    key: wordOf(step, 'key'),
    body: JSON.stringify({ amount: step.values.amount ?? '100' }),
    caller: world.deployment.callers[0],
    deadlineMs: Number(step.values.time ?? defaultDeadlineMs),
  });
};

const connections =
  (action: 'cut' | 'heal' | 'silence'): Action =>
  ({ platform }, step) =>
    platform.change(action, wordOf(step, 'a'), wordOf(step, 'b'));

const setAnswers = ({ platform }: World, step: Step, faults: Partial<AnswerFaults>): void => {
  Object.assign(platform.endpoint(wordOf(step, 'endpoint')).answers, faults);
};

const restartEngine = ({ platform }: World, step: Step, isCut: boolean): void => {
  const { engine } = platform.engine(wordOf(step, 'engine'));
  engine.restart();
  engine.faults.cut = isCut;
};

const actions: Readonly<Record<Bare<(typeof stepTemplates)[number]>, Action>> = {
  'cut <a:place> from <b:place>': connections('cut'),
  'cut controller of <domain> from <b:place>': (world, step) => {
    const controller = world.controllerOf(wordOf(step, 'domain'));
    if (controller !== undefined) world.platform.change('cut', controller.name, wordOf(step, 'b'));
  },
  'heal <a:place> from <b:place>': connections('heal'),
  'silence connections between <a:place> and <b:place>': connections('silence'),
  'pause controller of <domain> <time>': (world, step) =>
    world.controllerOf(wordOf(step, 'domain'))?.pause(numberOf(step, 'time')),
  'pause controller of <domain> <time> before next order': (world, step) => {
    const controller = world.controllerOf(wordOf(step, 'domain'));
    controller?.pauseBeforeOrder(numberOf(step, 'time'));
  },
  'pause daemon <daemon> <time>': (world, step) =>
    world.daemon(wordOf(step, 'daemon')).pause(numberOf(step, 'time')),
  'kill controller of <domain>': (world, step) =>
    world.controllerOf(wordOf(step, 'domain'))?.kill(),
  'kill daemon <daemon>': (world, step) => world.daemon(wordOf(step, 'daemon')).kill(),
  'kill engine <engine>': (world, step) => restartEngine(world, step, true),
  'restart daemon <daemon>': (world, step) => world.daemon(wordOf(step, 'daemon')).restart(),
  'restart engine <engine>': (world, step) => restartEngine(world, step, false),
  'stop daemon <daemon>': (world, step) => world.daemon(wordOf(step, 'daemon')).stop(),
  'engine <engine> dies in next load': ({ platform }, step) => {
    const engine = platform.engine(wordOf(step, 'engine'));
    engine.diesInNextLoad = true;
  },
  'engine <engine> delays next order <time>': ({ platform }, step) => {
    const { faults } = platform.engine(wordOf(step, 'engine')).engine;
    let delay = numberOf(step, 'time');
    faults.orderDelayMs = () => {
      const now = delay;
      delay = 0;
      return now;
    };
  },
  'engine <engine> loses answers of <count> orders': ({ platform }, step) => {
    const { faults } = platform.engine(wordOf(step, 'engine')).engine;
    let left = numberOf(step, 'count');
    faults.losesAnswer = () => {
      left -= 1;
      return left >= 0;
    };
  },
  'store down': ({ platform }) => platform.setStore({ down: true }),
  'store up': ({ platform }) => platform.setStore({ down: false }),
  'store copied': ({ platform }) => platform.copyStore(),
  'store restored from copy': ({ platform }) => platform.restoreStore(),
  'store latency <time>': ({ platform }, step) =>
    platform.setStore({ latencyMs: numberOf(step, 'time') }),
  'store watches silent': ({ platform }) => platform.setStore({ silentWatches: true }),
  'store watches answer': ({ platform }) => platform.setStore({ silentWatches: false }),
  'store loses answers of <count> writes': ({ platform }, step) =>
    platform.setStore({ loses: numberOf(step, 'count') }),
  'weights slow <factor>': ({ platform }, step) => platform.slowWeights(numberOf(step, 'factor')),
  'host <endpoint> leaving': ({ platform }, step) => platform.leave(wordOf(step, 'endpoint')),
  'endpoint <endpoint> takes <count> calls a second': ({ platform }, step) =>
    platform.limit(wordOf(step, 'endpoint'), numberOf(step, 'count')),
  'endpoint <endpoint> takes all calls': ({ platform }, step) =>
    platform.limit(wordOf(step, 'endpoint'), undefined),
  'prompts with <part:word> crash engines': ({ platform }, step) =>
    platform.setCrashing(wordOf(step, 'part'), true),
  'prompts with <part:word> are harmless': ({ platform }, step) =>
    platform.setCrashing(wordOf(step, 'part'), false),
  'late answers from <endpoint> <time>': (world, step) =>
    setAnswers(world, step, { lateMs: numberOf(step, 'time') }),
  'lost answers from <endpoint>': (world, step) => setAnswers(world, step, { lost: true }),
  'whole answers from <endpoint>': (world, step) => setAnswers(world, step, noAnswerFaults),
  'crossed answers from <endpoint>': (world, step) => setAnswers(world, step, { crossed: true }),
  'burst <count> requests for <model> at <place>': burst,
  'book <service:pool> key <key:word> at <daemon>': book,
  'rollout bundle <bundle> by <a:operator> and <b:operator> at <daemon>': rollout,
};

/** Carries out a step; what takes time goes on by itself. Gives the errors of the runner. */
export const perform = (world: World, step: Step): Promise<void> => {
  world.history.note(world.clock.now(), step.text);
  const action = (actions as Readonly<Record<string, Action>>)[step.template];
  return Promise.resolve(action(world, step));
};
