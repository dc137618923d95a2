import { SeededRandom } from '@currantdrift/core';
import { type Controller, FixedTtl, type Protections } from '../src';
import { bundleOf, type Member, model, violations, World } from './harness';

export interface History {
  /** Violations that the checker found, each with its time in ms since the start. */
  readonly seen: readonly string[];
  /** Number of load orders that reached engines. */
  readonly loads: number;
  /** Items that could not be woken after all faults had ended. */
  readonly stuck: readonly string[];
  readonly epoch: number;
}

const models = [
  model('quote-7', { bytes: 20e9, replicas: 1 }),
  model('plan-2', { bytes: 50e9, replicas: 1 }),
  model('chat-1', { bytes: 30e9, replicas: 2 }),
  model('menu-4', { bytes: 40e9, replicas: 1 }),
  model('rig-9', { bytes: 35e9, replicas: 2 }),
];

const adapters = [
  { name: 'quote-7:venues', version: '1', bytes: 1e9, replicas: 1 },
  { name: 'chat-1:hotels', version: '1', bytes: 1e9, replicas: 1 },
];

const names = [...models, ...adapters].map(({ name }) => name);

/**
 * Runs a random history of two controllers with pauses, kills, lost responses, store outages,
 * delayed orders, and unreachable and restarted engines. After each change the checker inspects
 * what the engines actually hold.
 */
export const runHistory = async (
  seed: number,
  protections: Partial<Protections> = {},
  steps = 120,
): Promise<History> => {
  const random = SeededRandom.create(seed);
  const int = (limit: number) => Math.floor(random.next() * limit);
  const world = new World();
  world.bundle = bundleOf({ models, adapters });
  const loadMs = { memory: 300, disk: 2_000, remote: 5_000 };
  [random.next() < 0.5, false, random.next() < 0.5].forEach((fencing, index) =>
    world.addEngine(`e${index}`, { fencing, memoryBytes: 80e9, loadMs }),
  );
  const limits = new Map([...models, ...adapters].map(({ name, replicas }) => [name, replicas]));
  const seen: string[] = [];
  world.engines.forEach((engine) => {
    // eslint-disable-next-line no-param-reassign -- the fake is observed through this hook
    engine.onChange = () =>
      violations(world.engines, (name) => limits.get(name) ?? 0).forEach((text) =>
        seen.push(`${world.clock.now() - 1_000_000}: ${text}`),
      );
  });
  const settings = { orderTimeoutMs: 8_000 };
  const members: Member[] = ['d1', 'd2'].map((name) =>
    world.addController(name, { protections, settings, keepWarm: FixedTtl.create(15_000) }),
  );
  const incarnations = [1, 1];
  const later = (ms: number, action: () => void) => {
    world.clock
      .sleep(ms)
      .then(action)
      .catch(() => {});
  };
  const wake = () =>
    members.forEach(({ controller, process }) => {
      if (process.isDead) return;
      const item = names[int(names.length)];
      controller.touch(item, world.clock.now());
      controller.wake(item, world.clock.now() + 2_000 + int(30_000)).catch(() => {});
    });
  const replace = (index: number) => {
    members[index].process.kill();
    later(1_000 + int(8_000), () => {
      incarnations[index] += 1;
      members[index] = world.addController(
        `d${index + 1}`,
        { protections, settings, keepWarm: FixedTtl.create(15_000) },
        incarnations[index],
      );
    });
  };
  const actions: (() => void)[] = [
    wake,
    wake,
    wake,
    () => {
      const { process } = members[int(2)];
      if (process.isDead) return;
      process.pause();
      later(500 + int(20_000), () => {
        if (!process.isDead) process.resume();
      });
    },
    () => {
      const index = int(2);
      if (!members[index].process.isDead && random.next() < 0.4) replace(index);
    },
    () => {
      const { faults } = members[int(2)].store;
      faults.down = true;
      later(500 + int(12_000), () => {
        faults.down = false;
      });
    },
    () => {
      const { faults } = members[int(2)].store;
      faults.losesAnswer = () => random.next() < 0.3;
      faults.latencyMs = int(400);
      later(500 + int(8_000), () => {
        faults.losesAnswer = () => false;
        faults.latencyMs = 2;
      });
    },
    () => {
      const { faults } = world.engines[int(world.engines.length)];
      faults.orderDelayMs = () => int(3_000);
      faults.losesAnswer = () => random.next() < 0.4;
      later(500 + int(12_000), () => {
        faults.orderDelayMs = () => 0;
        faults.losesAnswer = () => false;
      });
    },
    () => {
      const { faults } = world.engines[int(world.engines.length)];
      faults.cut = true;
      later(500 + int(10_000), () => {
        faults.cut = false;
      });
    },
    () => {
      if (random.next() < 0.3) world.engines[int(world.engines.length)].restart();
    },
    () => {
      const engine = world.engines[int(world.engines.length)];
      engine.items.forEach(({ item, state }) => {
        if (state !== 'ready') return;
        engine.setRunning(item, int(2));
        later(int(5_000), () => engine.setRunning(item, 0));
      });
    },
    () => {
      const changed = int(models.length);
      world.bundle = {
        ...world.bundle,
        version: world.bundle.version + 1,
        models: world.bundle.models.map((entry, index) =>
          index === changed ? { ...entry, version: `${Number(entry.version) + 1}` } : entry,
        ),
      };
    },
  ];
  for (let step = 0; step < steps; step += 1) {
    actions[int(actions.length)]();
    await world.clock.advance(50 + int(1_500));
  }
  await world.clock.advance(60_000);
  const stuck: string[] = [];
  const holder = members.find(({ controller }) => controller.isHolder);
  for (const name of holder === undefined ? ['no holder'] : names) {
    let result: Awaited<ReturnType<Controller['wake']>> | undefined;
    for (let tries = 0; tries < 5 && !result?.isOk() && holder !== undefined; tries += 1) {
      await world.clock.advance(result?.isErr() ? result.error.retryAfterMs : 0);
      const now = world.clock.now();
      holder.controller.touch(name, now);
      result = await world.clock.settle(holder.controller.wake(name, now + 120_000), 250);
    }
    if (result === undefined || result.isErr()) {
      stuck.push(`${name}: ${result?.isErr() ? result.error.kind : ''}`);
    }
  }
  return {
    seen,
    stuck,
    loads: world.engines.flatMap(({ arrived }) => arrived).filter(({ kind }) => kind === 'load')
      .length,
    epoch: holder?.controller.status().epoch ?? 0,
  };
};
