import { z } from 'zod';

/** Largest length of a prompt part or a name, in characters. */
export const maxTextLength = 200;

const text = z.string().max(maxTextLength);

/** Largest number of requests in one report. */
export const maxSuspects = 16;

/** Largest number of subjects of one request. */
export const maxParts = 64;

const suspectSchema = z.object({
  /** Identifies the request; its repeats are the same. */
  prompt: text,
  /** Parts of the prompt that other prompts may share, and the request itself, unless answers cleared them. */
  parts: z.array(text).min(1).max(maxParts),
  /** Whether the engine had begun to answer the request. */
  hasBegun: z.boolean(),
  /** Whether an event of the answer had come, not long before. */
  hasEvent: z.boolean(),
});

/** A request that may have crashed the engine that it was at. */
export type Suspect = z.infer<typeof suspectSchema>;

export const crashReportSchema = z.object({
  service: text,
  endpoint: text,
  /** Start of the engine, in ms since the epoch. */
  bornAt: z.number(),
  suspects: z.array(suspectSchema).max(maxSuspects),
});

/** What one process saw of the crash of an engine. */
export type CrashReport = z.infer<typeof crashReportSchema>;

export const clearedPartsSchema = z.object({
  service: text,
  parts: z.array(text).min(1).max(maxParts),
});

/** Prompt parts and requests on which an engine has answered without a crash. */
export type ClearedParts = z.infer<typeof clearedPartsSchema>;

export const quarantineSchema = z.object({
  service: text,
  /** Requests are held back if all of these are among their prompt parts, or name the request. */
  parts: z.array(text).min(1).max(maxParts),
  /** Engines that crashed, as `id@start`. */
  crashes: z.array(text),
});

/** A request that crashes engines of a service, or prompt parts that do if they occur together. */
export type Quarantine = z.infer<typeof quarantineSchema>;
