/** A deployment of a random scenario, by the names that its steps may use. */
export interface Layout {
  /** Lines that describe the deployment. */
  readonly lines: readonly string[];
  readonly domains: readonly {
    readonly name: string;
    readonly daemons: readonly string[];
    readonly endpoints: readonly string[];
  }[];
  readonly daemons: readonly string[];
  readonly engines: readonly { readonly name: string; readonly domain: string }[];
  readonly endpoints: readonly string[];
  /** Models and adapters, with the replicas that the first bundle allows. */
  readonly items: readonly { readonly name: string; readonly replicas: number }[];
  readonly service: string;
  /** The endpoint of the service. */
  readonly serviceEndpoint: string;
  readonly operators: readonly string[];
  readonly runMs: number;
}

/** A line that happens at a time, in ms since the start of the scenario. */
export interface Moment {
  readonly at: number;
  readonly text: string;
}

/** What happens together and is dropped together when a scenario is made smaller. */
export interface Event {
  readonly kind: 'fault' | 'work' | 'rollout';
  readonly moments: readonly Moment[];
  /** Settings that only this event needs, such as the change of a bundle. */
  readonly settings: readonly string[];
}

/** A random scenario that can be made smaller. */
export interface Plan {
  readonly seed: number;
  readonly layout: Layout;
  readonly events: readonly Event[];
  readonly expectations: readonly string[];
}

/** Scenario text of a plan. */
export const textOf = ({ seed, layout, events, expectations }: Plan): string => {
  const moments = events
    .flatMap((event) => event.moments)
    .sort((a, b) => a.at - b.at)
    .map(({ at, text }) => `at ${at}ms ${text}`);
  return [
    `# Random scenario of seed ${seed}; npm run fuzz -- --first ${seed} --seeds 1`,
    `seed ${seed}`,
    `run ${layout.runMs}ms`,
    ...layout.lines,
    ...events.flatMap(({ settings }) => settings),
    '',
    ...moments,
    '',
    ...expectations,
    '',
  ].join('\n');
};
