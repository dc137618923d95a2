import { CacheTier, HostState } from '@currantdrift/core';
import { z } from 'zod';

const count = z.number().int().nonnegative();

/** An event of a token stream. */
export const tokensSchema = z.object({
  id: z.string(),
  attempt: count,
  offset: count,
  tokens: z.array(z.string()),
});

/** The last event of a token stream. */
export const endSchema = z.object({
  id: z.string(),
  attempt: count,
  offset: count,
  end: z.enum(['stop', 'length']),
});

export const reportSchema = z.object({
  endpoint: z.string(),
  bootId: z.string().min(1),
  sequence: count,
  state: z.enum(HostState),
  epoch: count,
  memoryBytes: z.number().nonnegative(),
  items: z.array(
    z.object({
      item: z.string().min(1),
      bytes: z.number().nonnegative(),
      state: z.enum(['loading', 'ready', 'unloading']),
      running: count,
    }),
  ),
  cached: z.array(z.object({ item: z.string(), tier: z.enum(CacheTier) })),
  running: count,
  waiting: count,
  slots: count,
});

export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: count,
      item: z.string(),
      prefix: z.string(),
      kind: z.enum(['stored', 'evicted']),
    }),
  ),
});
