import { isAdapter, modelOf, parseItemKey } from '@currantdrift/core';

export const IntentKind = { load: 'load', unload: 'unload', standing: 'standing' } as const;
export type IntentKind = (typeof IntentKind)[keyof typeof IntentKind];

/**
 * What the controller has permitted itself to order. A load stays in the record after it is
 * answered, until its unload is proven: that is what an engine that cannot be reached counts as
 * holding. A standing intent permits a load during a store outage.
 */
export interface Intent {
  /** Unique in the domain; the id of the order that it permits. */
  readonly id: string;
  readonly engine: string;
  /** Boot of the engine for which the intent was made. */
  readonly bootId: string;
  /** Item key, with version. */
  readonly item: string;
  readonly bytes: number;
  readonly kind: IntentKind;
  /** Epoch of the controller that may send the order. */
  readonly epoch: number;
  /** True once the engine has answered that the order is done. */
  readonly answered: boolean;
}

/** Name of an item without its version. */
export const itemNameOf = (key: string): string => parseItemKey(key)?.name ?? key;

/** Identifies an item on an engine. */
export const pairKey = (engine: string, item: string): string => `${engine}\u0000${item}`;

/** Tells whether the intent stands for bytes that are, or may come, on its engine. */
export const reservesMemory = ({ kind }: Intent): boolean => kind !== IntentKind.unload;

/** Tells whether `item` is an adapter of the model with key `model`. */
export const isAdapterOf = (item: string, model: string): boolean =>
  isAdapter(itemNameOf(item)) && modelOf(itemNameOf(item)) === itemNameOf(model);
