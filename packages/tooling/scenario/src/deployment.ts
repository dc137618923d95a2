import { createHash } from 'node:crypto';
import { bundleDigest, parseBundle } from '@currantdrift/bundle';
import type { Bundle, CacheTier } from '@currantdrift/core';
import { daemonName } from './declared';
import { numberOf, type Scenario, type Statement, wordOf } from './scenario';

export interface DomainSetting {
  readonly name: string;
  readonly region: string;
  readonly daemons: readonly string[];
}

export interface EndpointSetting {
  readonly name: string;
  readonly domain: string;
  readonly pool: string;
  /** 0 for plain services. */
  readonly memoryBytes: number;
  /** Version of an engine's software, if it reports one. */
  readonly softwareVersion?: string;
}

/** A deployment as the settings of a scenario describe it. */
export interface Deployment {
  readonly seed: number;
  readonly runMs: number;
  readonly fencing: boolean;
  readonly domains: readonly DomainSetting[];
  readonly engines: readonly EndpointSetting[];
  readonly services: readonly EndpointSetting[];
  readonly checkpoints: readonly {
    readonly model: string;
    readonly engine: string;
    readonly tier: CacheTier;
  }[];
  readonly operators: readonly string[];
  readonly callers: readonly string[];
  readonly bundle: Bundle;
  /** Protections without which the scenario must fail. */
  readonly failsWithout: readonly string[];
}

const defaultRunMs = 60_000;

const defaultCaller = 'venue';

/** API key of a caller. */
export const apiKeyOf = (caller: string): string => `key-of-${caller}`;

const isMarker = (name: string): boolean => name.startsWith('bundle-');

/** Name of the model by which callers can tell which bundle is in force. */
const markerName = (version: number, label: string): string => `bundle-${version}-${label}`;

/** Reads the bundle in force from the models that a caller may reach. */
export const readMarker = (
  items: readonly string[],
): { readonly version: number; readonly label: string } => {
  const [, version = '0', ...label] = (items.find(isMarker) ?? '').split('-');
  return { version: Number(version), label: label.join('-') };
};

const markerModel = (version: number, label: string, pool: string): Bundle['models'][number] => ({
  name: markerName(version, label),
  version: '1',
  bytes: 1,
  replicas: 0,
  pool,
  calendar: [],
});

const withMarker = (bundle: Bundle, label: string): Bundle => {
  const models = bundle.models.filter(({ name }) => !isMarker(name));
  const marker = markerModel(bundle.version, label, models[0]?.pool ?? 'none');
  const items = [...models, ...bundle.adapters].map(({ name }) => name);
  return {
    ...bundle,
    models: [...models, marker],
    callers: bundle.callers.map((caller) => ({ ...caller, items: [...items, marker.name] })),
  };
};

const validBundle = (bundle: Bundle, before?: Bundle): Bundle =>
  parseBundle(bundle, before)._unsafeUnwrap();

/** The bundle that follows `before`, with the changes that the scenario gives for `label`. */
export const nextBundle = (scenario: Scenario, before: Bundle, label: string): Bundle => {
  const replicas = new Map(
    scenario.settings
      .filter(({ template, values }) => template.startsWith('bundle') && values.bundle === label)
      .map((setting) => [wordOf(setting, 'model'), numberOf(setting, 'count')]),
  );
  const change = <T extends { name: string; replicas: number }>(item: T): T => ({
    ...item,
    replicas: replicas.get(item.name) ?? item.replicas,
  });
  const next: Bundle = {
    ...before,
    version: before.version + 1,
    previous: bundleDigest(before),
    models: before.models.map(change),
    adapters: before.adapters.map(change),
  };
  return validBundle(withMarker(next, label), before);
};

const firstBundle = (
  of: (kind: string) => readonly Statement[],
  domains: readonly DomainSetting[],
  services: readonly EndpointSetting[],
  callers: readonly string[],
): Bundle => {
  const pools = [...new Set(services.map(({ pool }) => pool))];
  const item = (setting: Statement) => ({
    name: wordOf(setting, 'new'),
    version: '1',
    bytes: numberOf(setting, 'bytes'),
    replicas: numberOf(setting, 'count'),
  });
  const bundle: Bundle = {
    version: 1,
    previous: null,
    domains: domains.map(({ name, region }) => ({ name, region, founding: true })),
    callers: callers.map((name) => ({
      name,
      keyHashes: [createHash('sha256').update(apiKeyOf(name)).digest('hex')],
      items: [],
      services: pools,
      maxPriority: 9,
      weight: 1,
    })),
    models: of('model').map((one) => ({ ...item(one), pool: wordOf(one, 'pool'), calendar: [] })),
    adapters: of('adapter').map(item),
    services: pools.map((pool) => ({
      name: pool,
      pool,
      calls: [{ name: 'book', method: 'POST', repeatable: false }],
    })),
  };
  return validBundle(withMarker(bundle, 'first'));
};

/** Reads the settings of a scenario. */
export const deploymentOf = (scenario: Scenario): Deployment => {
  const of = (kind: string) =>
    scenario.settings.filter(({ template }) => template.split(' ')[0] === kind);
  const last = (kind: string) => of(kind).at(-1);
  const domains = of('domain').map((setting) => ({
    name: wordOf(setting, 'new'),
    region: wordOf(setting, 'region'),
    daemons: Array.from({ length: numberOf(setting, 'count') }, (_, index) =>
      daemonName(wordOf(setting, 'new'), index + 1),
    ),
  }));
  const endpoints = (kind: string): EndpointSetting[] =>
    of(kind).map((setting) => ({
      name: wordOf(setting, 'new'),
      domain: wordOf(setting, 'domain'),
      pool: wordOf(setting, 'pool'),
      memoryBytes: Number(setting.values.bytes ?? 0),
      ...(setting.values.software && { softwareVersion: wordOf(setting, 'software') }),
    }));
  const services = endpoints('service');
  const named = (kind: string) => of(kind).map((setting) => wordOf(setting, 'new'));
  const callers = named('caller').length > 0 ? named('caller') : [defaultCaller];
  return {
    seed: Number(last('seed')?.values.count ?? 1),
    runMs: Number(last('run')?.values.time ?? defaultRunMs),
    fencing: last('fencing')?.values.state !== 'off',
    domains,
    engines: endpoints('engine'),
    services,
    checkpoints: of('checkpoint').map((setting) => ({
      model: wordOf(setting, 'model'),
      engine: wordOf(setting, 'engine'),
      tier: wordOf(setting, 'tier') as CacheTier,
    })),
    operators: [...named('operator'), 'first-operator', 'second-operator'],
    callers,
    bundle: firstBundle(of, domains, services, callers),
    failsWithout: of('fails').map((setting) => wordOf(setting, 'protection')),
  };
};
