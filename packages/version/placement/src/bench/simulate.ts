import { isAdapter } from '@currantdrift/core';
import { clairvoyantBound } from '../clairvoyant';
import type { KeepWarmPolicy } from '../keep-warm';
import type { SimulatedItem } from './arrivals';

/** Results of a policy. Waits are of requests for models, including those through adapters. */
export interface PolicyFigures {
  readonly requests: number;
  readonly coldStarts: number;
  /** Accelerator hours loaded or loading without a running request. */
  readonly idleHours: number;
  /** Quantiles of the wait over all requests, in seconds; a warm request counts as 0. */
  readonly p50AllSeconds: number;
  readonly p99AllSeconds: number;
  /** Quantiles of the wait over requests that found the model not ready, in seconds. */
  readonly p50ColdSeconds: number;
  readonly p99ColdSeconds: number;
  /** Total wait of all requests, in seconds. */
  readonly waitSeconds: number;
}

/** Time, in ms, that a request takes. */
const serviceMs = 5_000;

/** Time, in ms, that a replica stays loaded after the decision to unload it: drain and unload. */
const unloadMs = 3_000;

interface ItemState {
  /** Time from which the item is ready; undefined while it is not loaded. */
  readyAt: number | undefined;
  /** Time up to which idle time and decisions have been accounted for. */
  at: number;
}

const quantile = (sorted: readonly number[], share: number): number =>
  sorted.length === 0 ? 0 : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];

/**
 * Simulates a policy on the requests of all items in order of time. Items are independent: memory
 * is unlimited, and loads do not wait for each other. Nothing before `fromMs` is measured.
 */
export const simulatePolicy = (
  items: readonly SimulatedItem[],
  policy: KeepWarmPolicy,
  fromMs: number,
): PolicyFigures => {
  const states = items.map<ItemState>(() => ({ readyAt: undefined, at: 0 }));
  const events = items
    .flatMap(({ arrivals }, item) => arrivals.map((at) => ({ at, item })))
    .sort((a, b) => a.at - b.at || a.item - b.item);
  const waits: number[] = [];
  let idleMs = 0;
  const idle = ({ accelerators }: SimulatedItem, from: number, to: number) => {
    idleMs += accelerators * Math.max(0, to - Math.max(from, fromMs));
  };
  const advance = (item: SimulatedItem, state: ItemState, to: number): ItemState => {
    let { readyAt, at } = state;
    while (at < to) {
      if (readyAt !== undefined) {
        const until = Math.max(at, policy.keepUntil(item.name, Math.max(at, readyAt)));
        if (until >= to) {
          idle(item, at, to);
          return { readyAt, at: to };
        }
        idle(item, at, until + unloadMs);
        at = until + unloadMs;
        readyAt = undefined;
      } else {
        const start = policy.preloadAt(item.name, at);
        if (start === undefined || start >= to) return { readyAt, at: to };
        at = Math.max(at, start);
        readyAt = at + item.coldStartSeconds * 1000;
      }
    }
    return { readyAt, at };
  };
  events.forEach(({ at, item: index }) => {
    const item = items[index];
    const state = advance(item, states[index], at);
    const readyAt = state.readyAt ?? at + item.coldStartSeconds * 1000;
    if (state.readyAt === undefined) idle(item, at, readyAt);
    const wait = Math.max(0, readyAt - at);
    if (at >= fromMs && !isAdapter(item.name)) waits.push(wait / 1000);
    policy.touch(item.name, at);
    states[index] = { readyAt, at: Math.max(state.at, at, readyAt) + serviceMs };
  });
  waits.sort((a, b) => a - b);
  const cold = waits.filter((wait) => wait > 0);
  return {
    requests: waits.length,
    coldStarts: cold.length,
    idleHours: idleMs / 3_600_000,
    p50AllSeconds: quantile(waits, 0.5),
    p99AllSeconds: quantile(waits, 0.99),
    p50ColdSeconds: quantile(cold, 0.5),
    p99ColdSeconds: quantile(cold, 0.99),
    waitSeconds: waits.reduce((sum, wait) => sum + wait, 0),
  };
};

/** Idle accelerator hours of the optimal offline policy, under which no request waits. */
export const clairvoyantIdleHours = (items: readonly SimulatedItem[], fromMs: number): number =>
  items.reduce((sum, { arrivals, coldStartSeconds, accelerators }) => {
    const measured = arrivals.filter((at) => at >= fromMs);
    const { idleMs } = clairvoyantBound(measured, serviceMs, coldStartSeconds * 1000);
    return sum + (accelerators * idleMs) / 3_600_000;
  }, 0);
