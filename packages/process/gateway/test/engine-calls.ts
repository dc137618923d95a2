import type { EngineReport } from '@currantdrift/fleet';
import { ok } from 'neverthrow';
import {
  type EngineControl,
  type EngineOrder,
  OrderResponse,
} from '../src/connection/engine-control';

const report: EngineReport = {
  bornAt: 1,
  models: [],
  busy: false,
  orderCount: 0,
  copies: { inMemory: [], onDisk: [] },
};

export const order: EngineOrder = {
  kind: 'load',
  model: 'm1',
  adapter: undefined,
  orderCount: 0,
  holder: 'h1',
  fence: 1,
};

/** An engine that answers every call; `onCall` is told of each. */
export const willingEngine = (onCall: (kind: 'report' | 'order') => void): EngineControl => ({
  report: async () => {
    onCall('report');
    return ok(report);
  },
  order: async () => {
    onCall('order');
    return ok(OrderResponse.accepted);
  },
});
