import { CacheTier, HostState } from '@currantdrift/core';
import { z } from 'zod';

/** Longest name of a software version, in characters. */
const maxVersionLength = 200;

const nonNegativeInteger = z.number().int().nonnegative();

/** Event of a token stream that carries tokens. */
export const tokensEventSchema = z.object({
  id: z.string(),
  attempt: nonNegativeInteger,
  offset: nonNegativeInteger,
  tokens: z.array(z.string()),
});

/** Last event of a token stream: the end marker. */
export const endEventSchema = z.object({
  id: z.string(),
  attempt: nonNegativeInteger,
  offset: nonNegativeInteger,
  end: z.enum(['stop', 'length']),
});

export const reportSchema = z.object({
  endpoint: z.string(),
  bootId: z.string().min(1),
  sequence: nonNegativeInteger,
  state: z.enum(HostState),
  epoch: nonNegativeInteger,
  memoryBytes: z.number().nonnegative(),
  items: z.array(
    z.object({
      item: z.string().min(1),
      bytes: z.number().nonnegative(),
      state: z.enum(['loading', 'ready', 'unloading']),
      running: nonNegativeInteger,
    }),
  ),
  cached: z.array(z.object({ item: z.string(), tier: z.enum(CacheTier) })),
  running: nonNegativeInteger,
  waiting: nonNegativeInteger,
  slots: nonNegativeInteger,
  requestLimitPerS: z.number().nonnegative().optional(),
  softwareVersion: z.string().max(maxVersionLength).optional(),
});

export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: nonNegativeInteger,
      item: z.string(),
      prefix: z.string(),
      kind: z.enum(['stored', 'evicted']),
    }),
  ),
});
