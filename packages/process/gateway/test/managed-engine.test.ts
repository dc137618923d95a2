import { type Failure, FailureKind, NoopTelemetry } from '@currantdrift/core';
import {
  EndpointLimits,
  type EndpointRecord,
  type EngineReport,
  type LoadedModel,
} from '@currantdrift/fleet';
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
  message: 'injected fault',
});

/** An engine that executes orders with injected faults and records violations of its limits. */
class FakeEngine implements EngineControl {
  models: LoadedModel[];

  readonly violations: string[] = [];

  readonly accepted: string[] = [];

  /** Faults of the next orders: not executed, executed without a response, or executed late. */
  faults: ('lost' | 'unanswered' | 'late')[] = [];

  down = false;

  /** Lag of reports behind the engine's state, in ms. */
  reportLagMs = 0;

  /** Number of adapters that fit on the engine. */
  adapterSlotCount = 8;

  /** Time until which every order is answered with a conflict. */
  conflictUntil = -1;

  /** Past states of the engine, for lagging reports. */
  private readonly history: { readonly at: number; readonly models: readonly LoadedModel[] }[] = [];

  /** Number of orders refused because of an order in progress or a different count. */
  conflicts = 0;

  /** Number of orders received. */
  received = 0;

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
    this.received += 1;
    const fault = this.faults.shift();
    if (fault === 'lost') return err(failure(FailureKind.unknown));
    if (fault === 'late') {
      this.late.push(order);
      return err(failure(FailureKind.unknown));
    }
    const answer = this.execute(order);
    return fault === 'unanswered' ? err(failure(FailureKind.unknown)) : ok(answer);
  }

  /** Executes the delayed orders. */
  release(): OrderResponse[] {
    const answers = this.late.map((order) => this.execute(order));
    this.late = [];
    return answers;
  }

  /** Executes a delayed load order of an earlier controller, with a matching count. */
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
    if (this.models.length > this.modelSlots) this.violations.push('more models than slots');
    return OrderResponse.accepted;
  }

  /** Whether the order unloads an adapter that the engine does not hold; such orders are not counted. */
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
    if (held.length > this.adapterSlotCount) this.violations.push('more adapters than slots');
    return kind === 'load' ? OrderResponse.accepted : OrderResponse.alreadySatisfied;
  }
}

const start = async (names: readonly string[], change: { mayOrder?: () => boolean } = {}) => {
  const clock = VirtualClock.create();
  const engine = new FakeEngine(clock, names);
  const managed = ManagedEngine.create(record, {
    control: engine,
    limits: EndpointLimits.create(() => {}),
    clock,
    telemetry: NoopTelemetry.create(),
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
    orderMs: 0,
    drainMs: 0,
    reason: 'waiting',
  }) as const;

const served = (managed: ManagedEngine) => managed.served.map(({ name }) => name);

test('a load with an unload stops requests to the old model at once', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  managed.load(swap(['a'], 'c'));
  expect(served(managed)).toEqual(['b']);
  await clock.advance(2_000);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(managed.view(new Map(), clock.now()).operation).toBeUndefined();
});

// Guards against requests that wait for a model that is loaded already because reports lag.
test('a load is done when the engine confirms it, even if its report lags', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.reportLagMs = 500;
  managed.load(swap(['a'], 'c'));
  await clock.advance(1_200);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
});

// Guards against a load that is assumed to be done after its expected duration.
test('a model whose load takes longer than expected is served when it ends', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  managed.load({ ...swap(['a'], 'c'), loadMs: 300 });
  await clock.advance(900);
  expect(served(managed)).toEqual(['b']);
  await clock.advance(300);
  expect(served(managed)).toEqual(['b', 'c']);
  expect(engine.conflicts).toBeLessThanOrEqual(3);
});

// Guards against orders at a constant rate while a load takes longer than expected.
test('the order is repeated less and less often until the model is loaded', async () => {
  const { clock, engine, managed } = await start(['a']);
  engine.reportLagMs = 500;
  managed.load({ ...swap([], 'c'), loadMs: 100 });
  await clock.advance(900);
  expect(engine.received).toBeLessThanOrEqual(7);
  await clock.advance(500);
  expect(served(managed)).toEqual(['a', 'c']);
  expect(engine.received).toBeLessThanOrEqual(9);
});

// Guards against a refused order after every unload.
test('the delay after unloads is learned from refused orders', async () => {
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

// Guards against an order that is executed twice, or abandoned, because its response was lost.
test.each([
  ['lost in transit', ['lost']],
  ['accepted without a response', ['unanswered']],
  ['accepted without a response, then lost', ['unanswered', 'lost', 'unanswered']],
] as const)('an order that was %s is executed once', async (_name, faults) => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.faults = [...faults];
  managed.load(swap(['a'], 'c'));
  await clock.advance(4_000);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
  expect(engine.violations).toEqual([]);
  expect(served(managed)).toEqual(['b', 'c']);
});

// Guards against an old order that arrives after newer ones and overfills the engine.
test('a delayed order is refused because its count no longer matches', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.faults = ['late'];
  managed.load(swap(['a'], 'c'));
  await clock.advance(4_000);
  expect(engine.release()).toEqual(['conflict']);
  expect(engine.accepted).toEqual(['unload a', 'load c']);
});

// Guards against a load beyond the engine's memory. A delayed order of an earlier controller had increased
// the order count, and the load was sent again with the new count.
test.each([
  ['before the order arrives', 0],
  ['while the engine still loads for it', 20],
])(
  'a load is abandoned when a late order of an earlier controller took the memory, %s',
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

// Guards against a conflict on every order after an adapter was unloaded.
test('an adapter unload increases the order count', async () => {
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
test('an order count that is too high is corrected from a report', async () => {
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

// Guards against adapters that are taken for loaded because the report was made before their unload. Plans
// then unload adapters that are absent and load more than fit.
test('adapters that were unloaded while another order was abandoned stay unloaded', async () => {
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
  // The first unload is abandoned just before the engine accepts orders again.
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

// Guards against a load beyond the engine's slots: the adapter that was to make room was absent.
test('an adapter is not loaded if the engine holds adapters unknown to the plan', async () => {
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

// Guards against adapter loads that are abandoned because of adapters of a model being unloaded.
test('adapters of a model that is not served do not prevent an adapter load', async () => {
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

// Guards against orders after the end of the controller's term.
test('no orders are sent while mayOrder returns false', async () => {
  let allowed = true;
  const { clock, engine, managed } = await start(['a', 'b'], { mayOrder: () => allowed });
  allowed = false;
  managed.load(swap(['a'], 'c'));
  await clock.advance(3_000);
  expect(engine.accepted).toEqual([]);
  expect(served(managed)).toEqual(['a', 'b']);
});

// Guards against plans that include an engine which does not respond.
test('an engine that does not respond is left out of plans until it does', async () => {
  const { clock, engine, managed } = await start(['a', 'b']);
  engine.down = true;
  managed.probe();
  await clock.advance(1_000);
  expect(managed.view(new Map(), clock.now()).leaving).toBe(true);
  engine.down = false;
  await clock.advance(1_000);
  expect(managed.view(new Map(), clock.now()).leaving).toBe(false);
});
