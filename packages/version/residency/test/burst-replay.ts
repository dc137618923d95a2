import { SeededRandom } from '@currantdrift/core';
import {
  Demand,
  type EngineView,
  type LoadPromise,
  type LoadStep,
  type NeededReplica,
  type PlanInput,
  planLoad,
} from '../src';
import { engine, loaded, planInput } from './plan-input';

/** Steps of the replay and interval between plans, in ms; the burst is its first part. */
const stepMs = 40;
const planMs = 120;
const burstMs = 16_000;
const endMs = 60_000;

const engineCount = 42;
const modelCount = 215;
const requestedModels = 183;
const copiesPerEngine = 12;

const meanRunMs = 1_200;
const unloadMs = 150;
const askAgainMs = 480;
const firstByteMs = 200;

/** First-byte target and deadline in ms, priority and cumulative share of the requests. */
const routes = [
  { targetMs: 601, deadlineMs: 15_000, priority: 1, upTo: 0.52 },
  { targetMs: 2_501, deadlineMs: 20_000, priority: 0, upTo: 0.68 },
  { targetMs: 1_501, deadlineMs: 8_000, priority: 2, upTo: 1 },
] as const;

interface Waiting {
  readonly request: string;
  readonly model: string;
  readonly priority: number;
  readonly arrivedAt: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  askAt: number;
  promise: { readonly at: number; readonly ms: number } | undefined;
  readonly isRetry: boolean;
}

interface Host {
  view: EngineView;
  runs: { readonly model: string; readonly endsAt: number }[];
  load: { readonly step: LoadStep; endsAt: number | undefined } | undefined;
}

/** How the replayed controller estimates ready times; settles promises before each plan. */
export interface Estimates {
  promise(input: PlanInput, need: NeededReplica, now: number): LoadPromise;
  settle(input: PlanInput, now: number): void;
}

/**
 * Replays a burst of requests for more models than the engines hold at once, with copies of most models
 * on the engines' disks, and the loads that the planner orders for it.
 */
export const replayBurst = (estimates: Estimates, perSecond: number, seed = 1) => {
  // Separate series, so that replays with different plans have the same requests.
  const random = SeededRandom.create(seed);
  const durations = SeededRandom.create(seed + 1);
  const names = Array.from({ length: modelCount }, (_, index) => `m${index}`);
  const pickName = () => names[Math.floor(random.next() * modelCount)];
  const base = planInput([], names, { demand: Demand.create(), remoteCapacity: 1 });
  const models = [...base.pool.models.values()].map((model) => {
    const times = { remoteLoadMs: 13_200, diskLoadMs: 600 + 200 * random.next() };
    return [model.name, { ...model, ...times }] as const;
  });
  const pool = { ...base.pool, slots: 48, memoryMb: 142, models: new Map(models) };
  const hosts = Array.from({ length: engineCount }, (_, index): Host => {
    const onDisk = Array.from({ length: copiesPerEngine }, pickName);
    const held = loaded(names[index], names[index + engineCount]);
    const view = engine(`e${index}`, { models: held, copies: { inMemory: [], onDisk } });
    return { view, runs: [], load: undefined };
  });
  const counts = { requests: 0, onTime: 0, late: 0, refused: 0, expired: 0, loads: 0 };
  const promises: { readonly promisedMs: number; readonly actualMs: number }[] = [];
  let waiting: Waiting[] = [];
  const arrived: Waiting[] = [];

  const currentInput = (): PlanInput => {
    const engines = hosts.map(({ view, runs }) => {
      const inFlight = new Map<string, number>();
      runs.forEach(({ model }) => inFlight.set(model, (inFlight.get(model) ?? 0) + 1));
      return { ...view, inFlight };
    });
    const remoteLoads = engines.filter(({ operation }) => operation?.remote).length;
    return { ...base, pool, engines, remoteLoads };
  };

  const advance = (index: number, now: number): void => {
    const host = hosts[index];
    host.runs = host.runs.filter(({ endsAt }) => endsAt > now);
    const { load, view } = host;
    if (load === undefined) return;
    const { step } = load;
    if (load.endsAt === undefined) {
      if (host.runs.some(({ model }) => step.unload.includes(model))) return;
      load.endsAt = now + unloadMs + step.loadMs * (0.9 + 0.4 * durations.next());
      const operation = view.operation && { ...view.operation, endsAt: now + step.loadMs };
      host.view = { ...view, unloading: [], operation };
    }
    if (load.endsAt > now) return;
    host.load = undefined;
    const held = [...view.models, ...loaded(step.model)];
    if (held.length > 2) throw new Error(`${view.id} holds more models than fit`);
    const loadedAt = new Map([...view.loadedAt, [step.model, now]]);
    const copies = { inMemory: [], onDisk: [...view.copies.onDisk, step.model] };
    host.view = { ...view, models: held, copies, unloading: [], loadedAt, operation: undefined };
  };

  const order = (step: LoadStep, now: number): void => {
    const host = hosts.find(({ view }) => view.id === step.engine);
    if (host === undefined) throw new Error(`no engine ${step.engine}`);
    counts.loads += 1;
    host.load = { step, endsAt: undefined };
    const isVictim = ({ name }: { name: string }) => step.unload.includes(name);
    const { models: held } = host.view;
    const endsAt = now + step.drainMs + step.loadMs + step.unload.length * unloadMs;
    const remote = step.source === 'remote';
    const unloading = held.filter(isVictim);
    const operation = { kind: 'load', model: step.model, endsAt, remote } as const;
    const left = held.filter((one) => !isVictim(one));
    host.view = { ...host.view, models: left, unloading, operation };
  };

  const isServed = (request: Waiting, now: number): boolean => {
    const [host] = hosts
      .filter(({ view }) => view.models.some(({ name }) => name === request.model))
      .sort((one, other) => one.runs.length - other.runs.length);
    if (host === undefined) return false;
    const { model, promise, arrivedAt, targetMs } = request;
    host.runs.push({ model, endsAt: now - Math.log(1 - durations.next()) * meanRunMs });
    counts[now + firstByteMs <= arrivedAt + targetMs ? 'onTime' : 'late'] += 1;
    if (promise) promises.push({ promisedMs: promise.ms, actualMs: now - promise.at });
    return true;
  };

  const promiseFor = (request: Waiting, input: PlanInput, now: number): LoadPromise => {
    const onTimeLeftMs = request.arrivedAt + request.targetMs - now;
    const need = { ...request, adapter: undefined, limited: false, onTimeLeftMs };
    return estimates.promise(input, need, now);
  };

  /** Asks for the model; returns whether the request is refused. */
  const isRefused = (request: Waiting, input: PlanInput, now: number): boolean => {
    const { firstByteMs: settleMs } = base.settings;
    const { readyMs, retryAfterMs } = promiseFor(request, input, now);
    const { arrivedAt, targetMs, deadlineMs } = request;
    const leftMs = arrivedAt + deadlineMs - now;
    const refused = readyMs + settleMs > leftMs;
    const deadline = now + (refused ? retryAfterMs + settleMs : leftMs);
    const onTimeDeadline = arrivedAt + targetMs - settleMs;
    const fixed = { service: 's', adapter: undefined, limited: false, lastSeenAt: now };
    base.demand.addWaiting({ ...request, ...fixed, deadline, onTimeDeadline, refused });
    request.askAt = now + askAgainMs;
    request.promise ??= { at: now, ms: readyMs };
    return refused;
  };

  const arrive = (now: number): void => {
    const model = names[Math.floor(requestedModels * random.next() ** 1.6)];
    const draw = random.next();
    const route = routes.find(({ upTo }) => draw < upTo) ?? routes[0];
    counts.requests += 1;
    const request = `r${counts.requests}`;
    const times = { arrivedAt: now, askAt: now, promise: undefined };
    arrived.push({ ...route, ...times, request, model, isRetry: false });
    base.demand.recordArrivals('s', model, 1, now);
  };

  /** Retries a refused request once, at the time that the refusal named. */
  const retry = (refused: Waiting, input: PlanInput, now: number): void => {
    const at = now + promiseFor(refused, input, now).retryAfterMs;
    const request = `${refused.request} again`;
    const times = { arrivedAt: at, askAt: at, promise: undefined };
    arrived.push({ ...refused, ...times, request, isRetry: true });
  };

  const staysWaiting = (request: Waiting, input: PlanInput, now: number): boolean => {
    if (now < request.arrivedAt) return true;
    if (isServed(request, now)) return false;
    const isExpired = now > request.arrivedAt + request.deadlineMs;
    if (!isExpired && (now < request.askAt || !isRefused(request, input, now))) return true;
    if (!isExpired && !request.isRetry) retry(request, input, now);
    else counts[isExpired ? 'expired' : 'refused'] += 1;
    return false;
  };

  for (let now = 0; now < endMs; now += stepMs) {
    hosts.forEach((_host, index) => advance(index, now));
    const arrivals = now < burstMs ? (perSecond * stepMs) / 1000 : 0;
    for (let left = arrivals; left > 0; left -= 1) if (random.next() < left) arrive(now);
    const input = currentInput();
    waiting = [...waiting, ...arrived.splice(0)].filter((one) => staysWaiting(one, input, now));
    if (now % planMs !== 0) continue;
    estimates.settle(currentInput(), now);
    for (let step = planLoad(currentInput(), now); step; step = planLoad(currentInput(), now)) {
      order(step, now);
    }
  }
  return { ...counts, promises };
};
