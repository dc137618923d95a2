import {
  type DomainView,
  type EndpointState,
  type Host,
  HostKind,
  HostState,
  SeededRandom,
} from '@currantdrift/core';
import { Balancer, PrefixIndex } from '@currantdrift/routing';
import { acquireLease, type RoutedAdmissionRequest } from '../src/request/replica-chooser';

const stateOf = (name: string, softwareVersion: string | undefined): EndpointState => ({
  host: {
    name,
    kind: HostKind.engine,
    domain: 'north',
    address: `${name}:80`,
    state: HostState.live,
    incarnation: 1,
    pool: 'writer',
    fencing: false,
  } satisfies Host,
  bootId: `${name}-1`,
  sequence: 1,
  state: HostState.live,
  memoryBytes: 1,
  items: [],
  cached: [],
  slots: 4,
  level: 0,
  ...(softwareVersion !== undefined && { softwareVersion }),
});

// Guards against an answer that goes on at an engine of another software version, or of one that is not
// stated.
test('a bound request gets a lease only at engines of its software version', () => {
  const states = [stateOf('e1', 'v1'), stateOf('e2', 'v2'), stateOf('e3', undefined)];
  const view = { replicas: () => states } as unknown as DomainView;
  const balancer = Balancer.create({
    random: SeededRandom.create(1),
    prefixes: PrefixIndex.create(),
  });
  const acquire = acquireLease(view, balancer, () => undefined);
  const request = (softwareVersion?: string): RoutedAdmissionRequest => ({
    caller: 'nino',
    weight: 1,
    priority: 5,
    deadline: 1_000,
    tried: [],
    prefixes: [],
    softwareVersion,
  });
  const endpoints = (softwareVersion?: string) =>
    new Set(Array.from({ length: 4 }, () => acquire('m', request(softwareVersion), 0)?.endpoint));
  expect(endpoints('v1')).toEqual(new Set(['e1']));
  expect(endpoints('v3')).toEqual(new Set([undefined]));
  expect(endpoints().size).toBeGreaterThan(1);
});
