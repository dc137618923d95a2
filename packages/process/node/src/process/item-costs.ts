import type { BundleHolder } from '@currantdrift/bundle';
import { isAdapter } from '@currantdrift/core';
import type { ItemCost } from '@currantdrift/placement';
import type { NodeOptions } from './node-options';

/** Time of a cold start in addition to the transfer of the checkpoint, in seconds. */
const coldStartBaseSeconds = 0.5;

/** Time of an adapter fetch, in seconds: the upper end of the weight store's stated 5 to 20 ms. */
const adapterFetchSeconds = 0.02;

/** Memory of one accelerator if the settings do not specify it, in bytes. */
const defaultAcceleratorBytes = 80e9;

/** Returns a function that gives an item's cold-start and memory costs under the current bundle. */
export const itemCosts =
  (holder: BundleHolder, { prices, weights }: Pick<NodeOptions, 'prices' | 'weights'>) =>
  (name: string): ItemCost => {
    const bytes = holder.current?.item(name)?.bytes ?? 0;
    const model = holder.current?.model(name);
    return {
      coldStartSeconds: isAdapter(name)
        ? adapterFetchSeconds
        : coldStartBaseSeconds + bytes / weights.bytesPerSecond,
      accelerators: bytes / (prices.acceleratorBytes ?? defaultAcceleratorBytes),
      calendar: model?.calendar ?? [],
    };
  };
