import type { Store } from '@currantdrift/core';
import { z } from 'zod';
import type { Holder } from './record';

const schema = z.object({
  incarnation: z.number().int().nonnegative(),
  epoch: z.number().int().nonnegative(),
  unsettled: z.array(z.string()),
});

/** Written by a former holder once it sends no more orders of `epoch`. */
export interface Acknowledgement {
  readonly incarnation: number;
  readonly epoch: number;
  /** Ids of intents whose order got no response; the request may still be in the network. */
  readonly unsettled: readonly string[];
}

const keyOf = (domain: string, epoch: number): string => `domain/${domain}/ack/${epoch}`;

/** Reads a former holder's acknowledgement; undefined if it is missing, invalid or unreadable. */
export const readAcknowledgement = async (
  store: Store,
  domain: string,
  epoch: number,
  { incarnation }: Holder,
): Promise<Acknowledgement | undefined> => {
  const entry = (await store.get(keyOf(domain, epoch))).unwrapOr(undefined);
  if (entry === undefined) return undefined;
  try {
    const parsed = schema.safeParse(JSON.parse(new TextDecoder().decode(entry.value)));
    return parsed.success && parsed.data.incarnation === incarnation ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/** Writes an acknowledgement; false unless the store has confirmed it. */
export const writeAcknowledgement = async (
  store: Store,
  domain: string,
  acknowledgement: Acknowledgement,
): Promise<boolean> => {
  const key = keyOf(domain, acknowledgement.epoch);
  const current = await store.get(key);
  if (current.isErr()) return false;
  const bytes = new TextEncoder().encode(JSON.stringify(acknowledgement));
  const swap = await store.compareAndSwap(key, current.value?.revision ?? 0, bytes);
  return swap.isOk() && swap.value.kind === 'swapped';
};

/** Deletes an acknowledgement that has been processed. Failures are ignored. */
export const deleteAcknowledgement = async (
  store: Store,
  domain: string,
  epoch: number,
): Promise<void> => {
  const entry = (await store.get(keyOf(domain, epoch))).unwrapOr(undefined);
  if (entry !== undefined) await store.compareAndSwap(entry.key, entry.revision, undefined);
};
