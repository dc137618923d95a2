import type { LoadedModel } from './endpoint-record';

/** Models that an engine serves, derived by the controller from its orders. */
export interface Inventory {
  readonly endpoint: string;
  readonly bornAt: number;
  /** Excludes models that are being unloaded. */
  readonly models: readonly LoadedModel[];
}
