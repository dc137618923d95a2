import { type Failure, FailureKind, SilentTelemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport, LoadedModel } from '@currantdrift/fleet';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import {
  type EngineControl,
  type EngineOrder,
  OrderResponse,
} from '../src/connection/engine-control';
import { ManagedEngine } from '../src/process/managed-engine';
import { UnloadDelayEstimator } from '../src/process/unload-delay-estimator';

const record = endpointRecord();

const failure = (kind: FailureKind): Failure => ({
  kind,
  step: 'engine.order',
  peer: 'e1',
  message: 'fault of the test',
});

/** An engine that carries out orders, with faults, and says what went wrong with it. */
class FakeEngine implements EngineControl {
  models: LoadedModel[];

  readonly violations: string[] = [];

  readonly accepted: string[] = [];

  /** What becomes of the next orders: carried out, unanswered, or carried out late. */
  faults: ('lost' | 'unanswered' | 'late')[] = [];

  down = false;

  /** Age of what reports say about a load, in ms. */
  reportLagMs = 0;

  /** Adapters that the engine has room for. */
  adapterSlotCount = 8;

  /** Time until which every order meets another one under way. */
  conflictUntil = -1;

  /** What the engine held, and since when, for reports that lag. */
  private readonly history: { readonly at: number; readonly models: readonly LoadedModel[] }[] = [];

  /** Orders that met another one under way or a count that differs. */
  conflicts = 0;

  private count = 0;

  private busyUntil = -1;

  private loading = '';

  private late: EngineOrder[] = [];

  constructor(
    private readonly clock: VirtualClock,
    names: readonly string[],
    private readonly modelSlots = 2,
  ) {
    this.models = names.map((name) => ({ name, adapters: [] }));
  }

  async report(): Promise<Result<EngineReport, Failure>> {
    await this.clock.sleep(2);
    if (this.down) return err(failure(FailureKind.unreachable));
    const isBusy = this.clock.now() - this.reportLagMs < this.busyUntil;
    return ok({
      bornAt: 1,
      models: isBusy ? this.models.slice(0, -1) : this.reportedModels(),
      busy: isBusy,
      orderCount: this.count,
      copies: { inMemory: [], onDisk: [] },
    });
  }

  async order(
    _record: EndpointRecord,
    order: EngineOrder,
  ): Promise<Result<OrderResponse, Failure>> {
    await this.clock.sleep(2);
    const fault = this.faults.shift();
    if (fault === 'lost') return err(failure(FailureKind.unknown));
    if (fault === 'late') {
      this.late.push(order);
      return err(failure(FailureKind.unknown));
    }
    const answer = this.execute(order);
    return fault === 'unanswered' ? err(failure(FailureKind.unknown)) : ok(answer);
  }

  /** Carries out the orders that were held back. */
  release(): OrderResponse[] {
    const answers = this.late.map((order) => this.execute(order));
    this.late = [];
    return answers;
  }

  /** Carries out a load of an earlier holder, whose order was held up until its count fits. */
  loadByEarlierHolder(model: string): OrderResponse {
    const orderCount = this.count;
    return this.execute({
      kind: 'load',
      model,
      adapter: undefined,
      orderCount,
      holder: 'h0',
      fence: 6,
    });
  }

  private reportedModels(): readonly LoadedModel[] {
    const at = this.clock.now() - this.reportLagMs;
    return this.history.findLast((state) => state.at <= at)?.models ?? this.models;
  }

  private execute(order: EngineOrder): OrderResponse {
    if (this.history.length === 0) this.history.push({ at: -Infinity, models: this.models });
    const answer = this.answer(order);
    this.history.push({ at: this.clock.now(), models: this.models });
    return answer;
  }

  private answer(order: EngineOrder): OrderResponse {
    if (this.clock.now() < this.conflictUntil) return OrderResponse.conflict;
    const isSame = order.kind === 'load' && order.model === this.loading;
    if (order.orderCount === this.count && isSame && this.clock.now() < this.busyUntil) {
      return OrderResponse.accepted;
    }
    if (order.orderCount !== this.count || this.clock.now() < this.busyUntil) {
      this.conflicts += 1;
      return OrderResponse.conflict;
    }
    if (this.isAbsent(order) || this.isLoaded(order)) return OrderResponse.alreadySatisfied;
    this.count += 1;
    this.accepted.push(`${order.kind} ${order.model}${order.adapter ? `/${order.adapter}` : ''}`);
    if (order.adapter !== undefined) return this.adapterOrder(order, order.adapter);
    if (order.kind === 'unload') {
      this.models = this.models.filter(({ name }) => name !== order.model);
      this.busyUntil = this.clock.now() + 30;
      return OrderResponse.accepted;
    }
    this.models = [...this.models, { name: order.model, adapters: [] }];
    this.loading = order.model;
    this.busyUntil = this.clock.now() + 1_000;
    if (this.models.length > this.modelSlots) this.violations.push('more models than places');
    return OrderResponse.accepted;
  }

  /** Whether the order unloads an adapter that the engine does not hold; that counts for nothing. */
  private isAbsent({ kind, model, adapter }: EngineOrder): boolean {
    const held = this.models.find(({ name }) => name === model);
    return kind === 'unload' && adapter !== undefined && !held?.adapters.includes(adapter);
  }

  private isLoaded({ kind, model, adapter }: EngineOrder): boolean {
    const isHeld = this.models.some(({ name }) => name === model);
    return kind === 'load' && adapter === undefined && isHeld;
  }

  private adapterOrder({ kind, model }: EngineOrder, adapter: string): OrderResponse {
    this.models = this.models.map((held) => {
      if (held.name !== model) return held;
      const others = held.adapters.filter((name) => name !== adapter);
      return { name: model, adapters: kind === 'load' ? [...others, adapter] : others };
    });
    const held = this.models.flatMap(({ adapters }) => adapters);
    if (held.length > this.adapterSlotCount) this.violations.push('more adapters than places');
    return kind === 'load' ? OrderResponse.accepted : OrderResponse.alreadySatisfied;
  }
}

const start = async (names: readonly string[], change: { mayOrder?: () => boolean } = {}) => {
  const clock = VirtualClock.create();
  const engine = new FakeEngine(clock, names);
  const managed = ManagedEngine.create(record, {
    control: engine,
    clock,
    telemetry: SilentTelemetry.create(),
    holder: 'h1',
    fence: 7,
    unloads: UnloadDelayEstimator.create(),
    mayOrder: change.mayOrder ?? (() => true),
    earliestOrderAt: 0,
    onRemoteLoad: () => {},
    onChange: () => {},
  });
  managed.start();
  await clock.advance(50);
  return { clock, engine, managed };
};

const swap = (unload: readonly string[], model: string) =>
  ({
    kind: 'load',
    engine: 'e1',
    model,
    unload,
    source: 'disk',
    loadMs: 1_000,
    reason: 'waiting',
  }) as const;

const served = (managed: ManagedEngine) => managed.served.map(({ name }) => name);

test('a swap stops requests at once, then unloads, loads and serves', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  managed.load(swap(['a'], 'c'));
  expect(served(managed)).toEqual(['b']);
  await clock.advance(2_000);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(managed.view(new Map(), clock.now()).operation).toBeUndefined();
});

// Guards against requests that wait for a loaded model because reports lag.
test('a load counts as done when the engine says so, not when its report does', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.reportLagMs = 500;
  managed.load(swap(['a'], 'c'));
  await clock.advance(1_200);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
});

// Guards against a load of unknown length that is taken for done.
test('a load that takes longer than expected is served when it ends', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  managed.load({ ...swap(['a'], 'c'), loadMs: 300 });
  await clock.advance(900);
  expect(served(managed)).toEqual(['b']);
  await clock.advance(300);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(engine.conflicts).toBeLessThanOrEqual(3);
});

// Guards against an order for each unload that the engine can only refuse.
test('orders after unloads wait until engines take them', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  const swaps = async (count: number) => {
    for (let step = 0; step < count; step += 1) {
      const [model] = served(managed);
      managed.load(swap([model], model === 'c' ? 'a' : 'c'));
      await clock.advance(1_500);
    }
    return engine.conflicts;
  };
  const learnt = await swaps(4);
  expect((await swaps(8)) - learnt).toBeLessThanOrEqual(1);
});

// Guards against an order that is carried out twice, or given up, because its answer was lost.
test.each([
  ['lost on its way', ['lost']],
  ['accepted without an answer', ['unanswered']],
  ['accepted without an answer, then lost', ['unanswered', 'lost', 'unanswered']],
] as const)('an order that was %s is carried out once', async (_name, faults) => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.faults = [...faults];
  managed.load(swap(['a'], 'c'));
  await clock.advance(4_000);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
  expect(engine.violations).toEqual([]);
  expect(served(managed)).toEqual(['b', 'c']);
});

// Guards against an old order that arrives after newer ones and fills the engine.
test('an order that is carried out late finds another count', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.faults = ['late'];
  managed.load(swap(['a'], 'c'));
  await clock.advance(4_000);
  expect(engine.release()).toEqual(['conflict']);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
});

// Guards against a load beyond the engine's memory: the order met a count that an earlier holder's late
// order had raised, and was sent again with the new count.
test.each([
  ['before the order arrives', 0],
  ['while the engine still loads for it', 20],
])(
  'a load is given up when a late order of an earlier holder took the room, %s',
  async (_name, ms) => {
    const { clock, engine, managed } = await start(['a']);
    engine.loadByEarlierHolder('x');
    await clock.advance(1_000 - ms);
    managed.load(swap([], 'c'));
    await clock.advance(30_000);
    expect(engine.violations).toEqual([]);
    expect(engine.accepted).toEqual(['load x']);
    expect(served(managed)).toEqual(['a', 'x']);
    expect(managed.view(new Map(), clock.now()).operation).toBeUndefined();
  },
);

// Guards against every later order meeting a conflict after an adapter was unloaded.
test('the unload of an adapter counts as an order', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  const step = (adapter: string, unload: { model: string; adapter: string }[]) =>
    ({ kind: 'adapter', engine: 'e1', model: 'a', adapter, unload }) as const;
  managed.adapter(step('n1', []));
  await clock.advance(200);
  managed.adapter(step('n2', [{ model: 'a', adapter: 'n1' }]));
  await clock.advance(200);
  expect(engine.accepted).toEqual(['load a/n1', 'unload a/n1', 'load a/n2']);
  expect(managed.served[0]).toEqual({ name: 'a', adapters: ['n2'] });
});

// Guards against a count that is too high, after which the engine refuses every order.
test('a count that went wrong is read again', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  const step = (adapter: string) =>
    ({
      kind: 'adapter',
      engine: 'e1',
      model: 'a',
      adapter,
      unload: [{ model: 'a', adapter: 'absent' }],
    }) as const;
  managed.adapter(step('n1'));
  managed.adapter(step('n2'));
  await clock.advance(4_000);
  expect(engine.accepted).toEqual(['load a/n1', 'load a/n2']);
  expect(managed.served[0]).toEqual({ name: 'a', adapters: ['n1', 'n2'] });
});

// Guards against adapters that count as held because a report from before their unload was read: plans
// then unload what is not there and load more than fits.
test('what was unloaded while an order was given up does not come back', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  const step = (adapter: string, ...unload: string[]) =>
    ({
      kind: 'adapter',
      engine: 'e1',
      model: 'a',
      adapter,
      unload: unload.map((victim) => ({ model: 'a', adapter: victim })),
    }) as const;
  ['n1', 'n2', 'n3'].forEach((adapter) => managed.adapter(step(adapter)));
  await clock.advance(1_000);
  engine.reportLagMs = 550;
  // The first unload is given up just before the engine takes orders again.
  engine.conflictUntil = clock.now() + 4_400;
  managed.adapter(step('n4', 'n1'));
  managed.adapter(step('n5', 'n2'));
  managed.adapter(step('n6', 'n3'));
  await clock.advance(12_000);
  const heldByEngine = engine.models.find(({ name }) => name === 'a')?.adapters ?? [];
  const believed = managed.served.find(({ name }) => name === 'a')?.adapters ?? [];
  expect([...believed].sort()).toEqual([...heldByEngine].sort());
  expect(heldByEngine).toEqual(expect.arrayContaining(['n5', 'n6']));
});

// Guards against a load beyond the engine's places: what was to make room was not there.
test('an adapter is not loaded if the engine holds others than its plan counted on', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.adapterSlotCount = 1;
  const step = (adapter: string, unload: { model: string; adapter: string }[]) =>
    ({ kind: 'adapter', engine: 'e1', model: 'a', adapter, unload }) as const;
  managed.adapter(step('n1', []));
  await clock.advance(1_000);
  engine.models = [
    { name: 'a', adapters: ['other'] },
    { name: 'b', adapters: [] },
  ];
  managed.adapter(step('n2', [{ model: 'a', adapter: 'n1' }]));
  await clock.advance(8_000);
  expect(engine.violations).toEqual([]);
  expect(managed.served[0]).toEqual({ name: 'a', adapters: ['other'] });
});

// Guards against adapters that are not loaded because of those of a model that is on its way out.
test('adapters of a model that is not counted on are no reason to give a load up', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.models = [...engine.models, { name: 'z', adapters: ['other'] }];
  managed.adapter({
    kind: 'adapter',
    engine: 'e1',
    model: 'a',
    adapter: 'n1',
    unload: [{ model: 'a', adapter: 'absent' }],
  });
  await clock.advance(4_000);
  expect(engine.accepted).toEqual(['load a/n1']);
});

// Guards against orders after the end of the term.
test('nothing is ordered without the right to', async () => {
  let allowed = true;
  const { clock, engine, managed } = await start(['a', 'b'], { mayOrder: () => allowed });
  allowed = false;
  managed.load(swap(['a'], 'c'));
  await clock.advance(3_000);
  expect(engine.accepted).toEqual([]);
  expect(served(managed)).toEqual(['a', 'b']);
});

// Guards against plans that count on an engine which does not answer.
test('an engine that does not answer is planned without until it does', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.down = true;
  managed.probe();
  await clock.advance(1_000);
  expect(managed.view(new Map(), clock.now()).leaving).toBe(true);
  engine.down = false;
  await clock.advance(1_000);
  expect(managed.view(new Map(), clock.now()).leaving).toBe(false);
});
