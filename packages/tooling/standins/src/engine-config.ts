import { CacheTier } from '@currantdrift/core';
import { z } from 'zod';

const count = z.number().int().nonnegative();
const ms = z.number().nonnegative();
const speed = z.number().positive();

export const engineConfigSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  name: z.string().min(1).default('engine-1'),
  /** Accelerator memory for items, in bytes. */
  memoryBytes: z.number().positive().default(80e9),
  /** `record` carries out a load that overcommits the memory and records it. */
  overcommit: z.enum(['record', 'refuse']).default('record'),
  /** Whether orders with an old epoch are refused. */
  fencing: z.boolean().default(true),
  /** Requests that run at once. */
  slots: z.number().int().positive().default(16),
  /** Requests that may wait for a slot. */
  queueLimit: count.default(64),
  /** Time between two tokens of a request that runs alone. */
  msPerToken: ms.default(26),
  /** Share by which a full batch lengthens the time between tokens. */
  batchSlowdown: ms.default(0.5),
  tokensPerEvent: z.number().int().positive().default(1),
  /** Time before the first token when the prompt's prefix is not cached. */
  prefillMs: ms.default(50),
  /** Bounds of the number of tokens of a whole answer. */
  answerTokens: z.tuple([count, count]).default([16, 256]),
  /** Time between two comments on a stream that has no tokens to send. */
  commentMs: z.number().positive().default(2000),
  /** `ip:port` of the weight store; without it remote loads take `remoteBytesPerSecond`. */
  weights: z.string().optional(),
  memoryBytesPerSecond: speed.default(20e9),
  diskBytesPerSecond: speed.default(4e9),
  remoteBytesPerSecond: speed.default(2e9),
  /** Room for checkpoints in the host's memory and on its disk, in bytes. */
  memoryTierBytes: count.default(64e9),
  diskTierBytes: count.default(500e9),
  unloadMs: ms.default(20),
  /** Checkpoints in the tiers at the start. */
  cached: z
    .array(z.strictObject({ item: z.string(), bytes: count, tier: z.enum(CacheTier) }))
    .default([]),
  /** Items that are ready at the start. */
  items: z.array(z.strictObject({ item: z.string(), bytes: count })).default([]),
  /** Lag of the numbers of running and waiting requests in reports. */
  loadLagMs: ms.default(500),
  /** Lag of everything in reports. */
  reportLagMs: ms.default(0),
  cacheEventLagMs: ms.default(1000),
  /** Every so many cache events one is lost; 0 loses none. */
  cacheEventGap: count.default(10),
  /** Prompt prefixes that are cached. */
  prefixSlots: z.number().int().positive().default(32),
  /** Whether runs are recorded by request; off for long benchmarks. */
  recordRuns: z.boolean().default(true),
});

export type EngineConfig = z.infer<typeof engineConfigSchema>;

export const engineFaultsSchema = z.strictObject({
  leaving: z.boolean().optional(),
  /** The engine dies `dieAfterMs` after the start of the next load. */
  dieInLoad: z.boolean().optional(),
  dieAfterMs: ms.optional(),
  /** `current` silences the streams that are open now, `all` also later ones. */
  stallStreams: z.enum(['none', 'current', 'all']).optional(),
  /** Tokens of a stream after which its connection breaks; null for never. */
  breakAfterTokens: count.nullable().optional(),
  /** Each stream starts with a token of another attempt. */
  crossStreams: z.boolean().optional(),
  refuseGenerations: z.boolean().optional(),
  refuseOrders: z.boolean().optional(),
  /** Number of orders whose answers are lost after they were carried out. */
  loseOrderAnswers: count.optional(),
  /** Requests per second that the engine states it takes from all daemons; null for no limit. */
  requestLimitPerS: z.number().nonnegative().nullable().optional(),
  /** Tokens take this many times as long. */
  slowdown: z.number().positive().optional(),
});

export type EngineFaults = Required<z.infer<typeof engineFaultsSchema>>;

export const noEngineFaults: EngineFaults = {
  leaving: false,
  dieInLoad: false,
  dieAfterMs: 100,
  stallStreams: 'none',
  breakAfterTokens: null,
  crossStreams: false,
  refuseGenerations: false,
  refuseOrders: false,
  loseOrderAnswers: 0,
  requestLimitPerS: null,
  slowdown: 1,
};

export const generationSchema = z.object({
  requestId: z.string().min(1),
  attempt: z.number().int().positive(),
  item: z.string().min(1),
  messages: z.array(
    z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }),
  ),
  maxTokens: z.number().int().positive(),
  temperature: z.number().optional(),
  seed: z.number().optional(),
  priority: z.number().int().min(0).max(9),
  resume: z.array(z.string()),
});

export type EngineGeneration = z.infer<typeof generationSchema>;

export const orderSchema = z.object({
  id: z.string().min(1),
  epoch: count,
  kind: z.enum(['load', 'unload', 'role']),
  item: z.string(),
  bytes: z.number().nonnegative(),
  role: z.string().optional(),
});

export const cancelSchema = z.object({ requestId: z.string(), attempt: z.number().int() });
