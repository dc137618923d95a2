import { Rollout } from '@currantdrift/bundle';
import { SeededRandom } from '@currantdrift/core';
import { StoreHandle, VirtualClock } from '@currantdrift/fakes';
import { Callers } from './callers';
import { Daemon, type Surroundings } from './daemon';
import { type Deployment, deploymentOf } from './deployment';
import { History } from './history';
import { Operators } from './operators';
import { Platform } from './platform';
import type { Protection } from './protections';
import type { Scenario } from './scenario';

/** 2026-12-04T00:00:00Z. */
const startOfTime = Date.UTC(2026, 11, 4);

/** Time before 0 s in which the daemons find each other and the domains get controllers, in ms. */
const settleMs = 15_000;

/** Time between two looks at the bundles in force, in ms. */
const samplePeriodMs = 250;

/** Everything in one run of a scenario. */
export class World {
  readonly clock = VirtualClock.create(startOfTime);

  readonly history = History.create(startOfTime + settleMs);

  readonly deployment: Deployment;

  readonly operators: Operators;

  readonly platform: Platform;

  readonly callers: Callers;

  readonly daemons: ReadonlyMap<string, Daemon>;

  private constructor(
    readonly scenario: Scenario,
    readonly seed: number,
    off: Protection | undefined,
  ) {
    const { clock, history } = this;
    this.deployment = deploymentOf(scenario);
    this.operators = Operators.create(this.deployment.operators);
    this.platform = Platform.create(this.deployment, clock, history, off);
    this.callers = Callers.create(clock, history);
    const around: Surroundings = { ...this, clock, history, seed, off };
    this.daemons = new Map(
      this.deployment.domains.flatMap(({ name: domain, daemons }) =>
        daemons.map((name) => [name, Daemon.create(name, domain, around)] as const),
      ),
    );
  }

  /** Makes the deployment and lets it run up to 0 s. */
  static async create(
    scenario: Scenario,
    options: { readonly seed?: number; readonly off?: Protection },
  ): Promise<World> {
    const seed = options.seed ?? deploymentOf(scenario).seed;
    const world = new World(scenario, seed, options.off);
    await world.begin();
    return world;
  }

  daemon(name: string): Daemon {
    const found = this.daemons.get(name);
    if (found === undefined) throw new Error(`there is no daemon ${name}`);
    return found;
  }

  /** Daemons at a place that take new callers. */
  openDaemons(place: string): readonly Daemon[] {
    return this.daemonsAt(place).filter(({ isOpen }) => isOpen);
  }

  /** Daemons of a domain, the named one, or all. */
  daemonsAt(place: string): readonly Daemon[] {
    return [...this.daemons.values()].filter(
      ({ name, domain }) => place === 'all' || domain === place || name === place,
    );
  }

  /** The daemon that the store names as the holder of a domain's lease. */
  controllerOf(domain: string): Daemon | undefined {
    const entry = this.platform.store.read(`domain/${domain}/lease`);
    if (entry === undefined) return undefined;
    const { holder } = JSON.parse(Buffer.from(entry.value).toString()) as { holder: string };
    return this.daemons.get(holder);
  }

  /** Runs up to a time of the scenario, in ms. */
  async runTo(at: number): Promise<void> {
    await this.clock.advance(Math.max(0, this.history.start + at - this.clock.now()));
  }

  private async begin(): Promise<void> {
    const { clock, deployment, operators, platform } = this;
    const [first, second] = deployment.operators.slice(-2);
    const rollout = Rollout.create({
      store: StoreHandle.create(platform.store, clock),
      clock,
      random: SeededRandom.create(1),
      trusted: operators.trusted,
    });
    const signed = operators.sign(deployment.bundle, first, second);
    const accepted = await clock.settle(rollout.run(signed, first));
    if (accepted.kind !== 'done') throw new Error(`no first bundle: ${accepted.message}`);
    const started = Promise.all([...this.daemons.values()].map((daemon) => daemon.start()));
    await clock.settle(started);
    this.sampleVersions();
    await this.runTo(0);
  }

  private sampleVersions(): void {
    this.daemons.forEach((daemon) => daemon.sampleVersion());
    this.clock.sleep(samplePeriodMs).then(() => this.sampleVersions());
  }
}
