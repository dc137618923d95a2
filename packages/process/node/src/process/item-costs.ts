import type { BundleHolder } from '@currantdrift/bundle';
import { isAdapter } from '@currantdrift/core';
import type { ItemCost } from '@currantdrift/placement';
import type { NodeOptions } from './node-options';

/** Time of a cold start beside the transfer of the checkpoint, in seconds. */
const startSeconds = 0.5;

/** Time of an adapter fetch, in seconds; 5 to 20 ms by the weight store's figures. */
const adapterSeconds = 0.02;

/** Memory of one accelerator when the settings name none, in bytes. */
const defaultAcceleratorBytes = 80e9;

/** What loading an item and keeping it costs, by name, from the bundle in force. */
export const itemCosts =
  (holder: BundleHolder, { prices, weights }: Pick<NodeOptions, 'prices' | 'weights'>) =>
  (name: string): ItemCost => {
    const bytes = holder.current?.item(name)?.bytes ?? 0;
    const model = holder.current?.model(name);
    return {
      coldStartSeconds: isAdapter(name)
        ? adapterSeconds
        : startSeconds + bytes / weights.bytesPerSecond,
      accelerators: bytes / (prices.acceleratorBytes ?? defaultAcceleratorBytes),
      calendar: model?.calendar ?? [],
    };
  };
