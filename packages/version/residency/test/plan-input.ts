import type { LoadedModel } from '@currantdrift/fleet';
import type { EnginePool } from '@currantdrift/routes';
import { defaultResidencySettings, Demand, type EngineView, type PlanInput } from '../src';

/** Load times in the tests, in ms. */
export const loadMs = { remote: 7_000, disk: 1_700, memory: 800 } as const;

export const pool = (names: readonly string[], places = 3): EnginePool => ({
  slots: 64,
  cacheTokens: 100_000,
  memoryMb: places * 70 + 2,
  adapterSlots: 2,
  remoteLoadsPerSecond: 4,
  models: new Map(
    names.map((name) => [
      name,
      {
        name,
        sizeMb: 70,
        remoteLoadMs: loadMs.remote,
        diskLoadMs: loadMs.disk,
        memoryLoadMs: loadMs.memory,
        adapterMb: 0.5,
      },
    ]),
  ),
});

export const loaded = (...names: string[]): LoadedModel[] =>
  names.map((name) => ({ name, adapters: [] }));

export const engine = (id: string, change: Partial<EngineView> = {}): EngineView => ({
  id,
  service: 's',
  domain: 'north',
  leaving: false,
  models: [],
  unloading: [],
  copies: { inMemory: [], onDisk: [] },
  loadedAt: new Map(),
  operation: undefined,
  adapterLoads: new Set(),
  requestLimitPerS: undefined,
  inFlight: new Map(),
  ...change,
});

export const planInput = (
  engines: readonly EngineView[],
  names: readonly string[],
  change: Partial<PlanInput> = {},
): PlanInput => ({
  service: 's',
  pool: pool(names),
  engines,
  demand: Demand.create(),
  remoteLoads: 0,
  remoteCapacity: 4,
  beforeDemand: false,
  settings: defaultResidencySettings,
  ...change,
});

let requestCount = 0;

/** Registers a request that waits for a model. */
export const addWaitingRequest = (
  demand: Demand,
  model: string,
  change: {
    now?: number;
    adapter?: string;
    priority?: number;
    deadline?: number;
    onTimeDeadline?: number;
    limited?: boolean;
  } = {},
): void => {
  requestCount += 1;
  const { now = 0, adapter, priority = 1, deadline = now + 30_000, limited = false } = change;
  const { onTimeDeadline = deadline } = change;
  demand.addWaiting({
    request: `r${requestCount}`,
    service: 's',
    model,
    adapter,
    deadline,
    onTimeDeadline,
    priority,
    limited,
    lastSeenAt: now,
    refused: false,
  });
};
