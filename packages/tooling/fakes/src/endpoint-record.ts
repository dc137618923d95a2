import { HostState } from '@currantdrift/core';
import type { EndpointRecord } from '@currantdrift/fleet';

/** A live endpoint `e1` of service `s` in the domain `north` without models, but for `change`. */
export const endpointRecord = (change: Partial<EndpointRecord> = {}): EndpointRecord => ({
  id: 'e1',
  service: 's',
  address: '127.0.0.1:1',
  domain: 'north',
  slots: 4,
  state: HostState.live,
  bornAt: 1,
  softwareVersion: 'v1',
  remainingMs: undefined,
  models: [],
  copies: { inMemory: [], onDisk: [] },
  ...change,
});
