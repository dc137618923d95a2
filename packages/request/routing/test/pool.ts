import { type EndpointState, SeededRandom } from '@currantdrift/core';
import { Balancer, type BalancerSettings, PrefixIndex } from '@currantdrift/routing';

export const endpoint = (name: string, change: Partial<EndpointState> = {}): EndpointState => ({
  host: {
    name,
    kind: 'engine',
    domain: 'd',
    address: '127.0.0.1:1',
    state: 'live',
    incarnation: 1,
    pool: 'writer',
    fencing: true,
  },
  bootId: 'boot',
  sequence: 1,
  state: 'live',
  memoryBytes: 0,
  items: [],
  cached: [],
  slots: 16,
  level: 0,
  ...change,
});

export const createBalancer = (seed = 1, settings: Partial<BalancerSettings> = {}) => {
  const prefixes = PrefixIndex.create();
  const balancer = Balancer.create({ random: SeededRandom.create(seed), prefixes, settings });
  return { balancer, prefixes };
};
