import type { LoadedModel } from './endpoint-record';

/** Models that an engine serves, as the controller knows them from its orders. */
export interface Inventory {
  readonly endpoint: string;
  readonly bornAt: number;
  /** Models that are being unloaded are missing. */
  readonly models: readonly LoadedModel[];
}
