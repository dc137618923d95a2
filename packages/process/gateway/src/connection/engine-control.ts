import type { Failure } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import type { Head } from '@currantdrift/http';
import type { Result } from 'neverthrow';

/** A load or unload command sent to an engine. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Name of the adapter to load or unload; undefined for the model itself. */
  readonly adapter: string | undefined;
  /** Number of orders that the engine must have accepted before this one. */
  readonly orderCount: number;
  readonly holder: string;
  readonly fence: number;
}

/** Response of an engine to an order. */
export const OrderResponse = {
  /** The engine is executing the order and has incremented its order count. */
  accepted: 'accepted',
  /** The engine is already in the requested state. */
  alreadySatisfied: 'holds',
  /** Another order is in progress, or `orderCount` does not match the engine's count. */
  conflict: 'conflict',
  /** The engine has accepted an order with a higher fencing token. */
  fenced: 'fenced',
  /** A different engine instance responded at this address. */
  elsewhere: 'elsewhere',
  /** The engine cannot execute the order. */
  invalid: 'invalid',
} as const;
export type OrderResponse = (typeof OrderResponse)[keyof typeof OrderResponse];

/** Receives the status and headers of each response from an endpoint, to a call sent at `sentAt`. */
export type ResponseHeadListener = (record: EndpointRecord, head: Head, sentAt: number) => void;

/** Reads and changes which models an engine holds. */
export interface EngineControl {
  report(record: EndpointRecord): Promise<Result<EngineReport, Failure>>;
  /** Sends nothing if `mayOrder` returns false once the connection is open. */
  order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>>;
}
