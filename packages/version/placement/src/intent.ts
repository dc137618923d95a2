import { isAdapter, modelOf, parseItemKey } from '@currantdrift/core';

export const IntentKind = { load: 'load', unload: 'unload', standing: 'standing' } as const;
export type IntentKind = (typeof IntentKind)[keyof typeof IntentKind];

/**
 * An order that the controller may send, recorded before it is sent. A load intent stays in the
 * record after its answer until the unload is proven, so that the items of an unreachable engine
 * are still counted. A standing intent is recorded ahead and permits a load during a store outage.
 */
export interface Intent {
  /** Unique in the domain; also the id of the order. */
  readonly id: string;
  readonly engine: string;
  /** Boot of the engine when the intent was created. */
  readonly bootId: string;
  /** Item key, with version. */
  readonly item: string;
  readonly bytes: number;
  readonly kind: IntentKind;
  /** Epoch of the controller that may send the order. */
  readonly epoch: number;
  /** True once the engine has confirmed that the order is done. */
  readonly answered: boolean;
}

/** Name of an item without its version. */
export const itemNameOf = (key: string): string => parseItemKey(key)?.name ?? key;

/** Map key for an item on an engine. */
export const pairKey = (engine: string, item: string): string => `${engine}\u0000${item}`;

/** Tells whether the intent accounts for memory that its item uses or may come to use. */
export const reservesMemory = ({ kind }: Intent): boolean => kind !== IntentKind.unload;

/** Tells whether `item` is an adapter of the model with key `model`. */
export const isAdapterOf = (item: string, model: string): boolean =>
  isAdapter(itemNameOf(item)) && modelOf(itemNameOf(item)) === itemNameOf(model);
