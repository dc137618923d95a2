import type { Failure } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import type { Head } from '@currantdrift/http';
import type { Result } from 'neverthrow';

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Set if the order concerns an adapter of the model. */
  readonly adapter: string | undefined;
  /** Orders that the engine must have accepted before this one. */
  readonly orderCount: number;
  readonly holder: string;
  readonly fence: number;
}

/** What an engine says to an order. */
export const OrderResponse = {
  /** It is being carried out; the engine's count of orders rises. */
  accepted: 'accepted',
  /** What it asks for holds already. */
  alreadySatisfied: 'holds',
  /** Another order is under way, or the count differs. */
  conflict: 'conflict',
  /** A later holder has given orders. */
  fenced: 'fenced',
  /** Another engine answered at the address. */
  elsewhere: 'elsewhere',
  /** The engine cannot carry it out. */
  invalid: 'invalid',
} as const;
export type OrderResponse = (typeof OrderResponse)[keyof typeof OrderResponse];

/** Takes the head of an answer of an endpoint. */
export type ResponseHeadListener = (record: EndpointRecord, head: Head) => void;

/** Calls to engines that concern the models they hold. */
export interface EngineControl {
  report(record: EndpointRecord): Promise<Result<EngineReport, Failure>>;
  /** Sends nothing if `mayOrder` is false by the time a connection has opened. */
  order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>>;
}
