import type { Message } from '@currantdrift/core';
import { clearedPartsSchema, crashReportSchema } from '@currantdrift/quarantine';
import {
  quotaDecisionSchema,
  quotaHandoverSchema,
  quotaQuestionSchema,
  quotaReturnSchema,
} from '@currantdrift/quota';
import { permitDecisionSchema } from '@currantdrift/rate-limit';
import { z } from 'zod';
import type { AgedListing } from '../process/feed';
import { encodeEntry, entrySchema } from './entry-codec';

/** Kinds of messages between gateways. */
export const PeerMessageKind = {
  want: 'gateway.want',
  usage: 'gateway.usage',
  inventory: 'gateway.inventory',
  resigned: 'gateway.resigned',
  leaving: 'gateway.leaving',
  permit: 'gateway.permit',
  quota: 'gateway.quota',
  quotaReturn: 'gateway.quota-return',
  quotaHandover: 'gateway.quota-handover',
  crash: 'gateway.crash',
  cleared: 'gateway.cleared',
  streams: 'gateway.streams',
  stream: 'gateway.stream',
  feed: 'gateway.feed',
  snapshot: 'gateway.snapshot',
} as const;

const optionalString = z
  .string()
  .nullish()
  .transform((value) => value ?? undefined);

/** What a member knows about the request limit of an endpoint. */
const limitSchema = z.object({
  endpoint: z.string(),
  bornAt: z.number(),
  /** Requests per second; null if the endpoint has ended its limit. */
  ratePerS: z.number().nonnegative().nullable(),
  /** Time since an answer of the endpoint stated this, in ms. */
  ageMs: z.number(),
});

/** Empty in messages of processes that do not know of limits. */
const limitsSchema = z.array(limitSchema).default([]);

/** Sent to the controller for a request to one of several endpoints that limit their requests. */
export const permitRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.permit),
  limits: z.array(limitSchema).min(1),
  /** Time for which the request can wait, in ms. */
  maxWaitMs: z.number(),
});
export type PermitRequestMessage = z.infer<typeof permitRequestSchema>;

/** The controller's response to a permit request. */
export const permitResponseSchema = z.union([
  permitDecisionSchema,
  z.object({ kind: z.literal('elsewhere') }),
]);
export type PermitResponse = z.infer<typeof permitResponseSchema>;

/** Asks the member that grants a customer's tokens. */
export const quotaRequestSchema = quotaQuestionSchema.extend({
  kind: z.literal(PeerMessageKind.quota),
  customer: z.string(),
});
export type QuotaRequestMessage = z.infer<typeof quotaRequestSchema>;

/** Response to that; `elsewhere` if the member grants none. */
export const quotaResponseSchema = z.union([
  quotaDecisionSchema,
  z.object({ kind: z.literal('elsewhere') }),
]);

/** Sent to the owner of a customer's quota by the member that has come to be ranked first. */
export const quotaHandoverRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.quotaHandover),
  customer: z.string(),
});

/** Response to that; `elsewhere` if the member is not the owner. */
export const quotaHandoverResponseSchema = z.union([
  quotaHandoverSchema.extend({ kind: z.literal('handed-over') }),
  z.object({ kind: z.literal('elsewhere') }),
]);

/** Gives back the tokens of a request that was not sent. */
export const quotaReturnMessageSchema = quotaReturnSchema.extend({
  kind: z.literal(PeerMessageKind.quotaReturn),
  customer: z.string(),
});
export type QuotaReturnMessage = z.infer<typeof quotaReturnMessageSchema>;

/** Sent to the controller for a request that waits for a model. */
export const loadRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.want),
  service: z.string(),
  model: z.string(),
  adapter: optionalString,
  timeLeftMs: z.number(),
  onTimeLeftMs: z.number(),
  priority: z.number(),
  limited: z.boolean().default(false),
  request: z.string(),
  unreachable: z.array(z.string()),
});

/** The controller's response to a `want` message. */
export const loadRequestResponseSchema = z.union([
  z.object({ kind: z.literal('expected'), readyInMs: z.number() }),
  z.object({ kind: z.literal('refused'), reason: z.string(), retryAfterMs: z.number() }),
  z.object({ kind: z.literal('elsewhere') }),
]);
export type LoadRequestResponse = z.infer<typeof loadRequestResponseSchema>;

/** Model arrivals and requests in flight at one member; sent to the controller. */
export const usageSchema = z.object({
  kind: z.literal(PeerMessageKind.usage),
  host: z.string(),
  uses: z.array(
    z.object({
      service: z.string(),
      model: z.string(),
      adapter: optionalString,
      arrivals: z.number(),
    }),
  ),
  flights: z.array(
    z.object({
      endpoint: z.string(),
      model: z.string(),
      adapter: optionalString,
      count: z.number(),
    }),
  ),
  /** Limits that endpoints have stated to the member since its last report. */
  limits: limitsSchema,
});
export type UsageMessage = z.infer<typeof usageSchema>;

/** The models that engines serve; sent by the controller. */
export const inventorySchema = z.object({
  kind: z.literal(PeerMessageKind.inventory),
  fence: z.number(),
  /** Increases with each announcement under the same fencing token. */
  number: z.number(),
  /** Whether the receiver forwards the message to the other members of its failure domain. */
  passOn: z.boolean(),
  /** Requests in flight at each engine, summed over all members; empty if there is no update. */
  loads: z.array(z.object({ endpoint: z.string(), inFlight: z.number() })),
  inventories: z.array(
    z.object({
      endpoint: z.string(),
      bornAt: z.number(),
      models: z.array(z.object({ name: z.string(), adapters: z.array(z.string()) })),
    }),
  ),
  /** Request limits that the controller knows; empty if there is no update. */
  limits: limitsSchema,
});

export type InventoryMessage = z.infer<typeof inventorySchema>;

/** An endpoint is shutting down; sent to the relays, which forward it in their failure domain. */
export const leavingSchema = z.object({
  kind: z.literal(PeerMessageKind.leaving),
  endpoint: z.string(),
  bornAt: z.number(),
  /** Whether the receiver forwards the message to the other members of its failure domain. */
  passOn: z.boolean(),
});
export type LeavingMessage = z.infer<typeof leavingSchema>;

/** What a member saw of the crash of an engine; forwarded like `leavingSchema`. */
export const crashSchema = crashReportSchema.extend({
  kind: z.literal(PeerMessageKind.crash),
  passOn: z.boolean(),
});
export type CrashMessage = z.infer<typeof crashSchema>;

/** Prompt parts that a member has seen to be sound; forwarded like `leavingSchema`. */
export const clearedSchema = clearedPartsSchema.extend({
  kind: z.literal(PeerMessageKind.cleared),
  passOn: z.boolean(),
});
export type ClearedMessage = z.infer<typeof clearedSchema>;

/** Streams that the sender's endpoints of one software version have begun. */
export const begunStreamsSchema = z.object({
  kind: z.literal(PeerMessageKind.streams),
  service: z.string(),
  softwareVersion: z.string(),
  /** Ids of the clients' attempts. */
  requests: z.array(z.string()),
});
export type BegunStreamsMessage = z.infer<typeof begunStreamsSchema>;

/** Asks a member what it knows of the stream of an attempt. */
export const streamRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.stream),
  request: z.string(),
});

/** Response to that; `elsewhere` if the member does not know the stream. */
export const streamResponseSchema = z.union([
  z.object({ kind: z.literal('begun'), service: z.string(), softwareVersion: z.string() }),
  z.object({ kind: z.literal('elsewhere') }),
]);

const changeSchema = z.union([
  z.object({ kind: z.literal('put'), entry: entrySchema }),
  z.object({ kind: z.literal('removed'), key: z.string(), revision: z.number() }),
]);

/** Changes that a watcher read from the store; sent to the relays, which forward them in their domain. */
export const feedSchema = z.object({
  kind: z.literal(PeerMessageKind.feed),
  host: z.string(),
  batches: z.array(
    z.object({
      prefix: z.string(),
      after: z.number(),
      revision: z.number(),
      changes: z.array(changeSchema),
      /** Time since the store last confirmed that there are no newer changes below the prefix, in ms. */
      ageMs: z.number(),
    }),
  ),
});
export type FeedMessage = z.infer<typeof feedSchema>;

/** Encodes a feed message, compressing large values. */
export const encodeFeed = (message: FeedMessage): Message => ({
  ...message,
  batches: message.batches.map((batch) => ({
    ...batch,
    changes: batch.changes.map((change) =>
      change.kind === 'put' ? { ...change, entry: encodeEntry(change.entry) } : change,
    ),
  })),
});

/** Requests all entries below a prefix from a watcher or a relay. */
export const snapshotSchema = z.object({
  kind: z.literal(PeerMessageKind.snapshot),
  prefix: z.string(),
});

/** Response to a snapshot request; `elsewhere` if the responder's entries may be out of date. */
export const snapshotResponseSchema = z.union([
  z.object({
    kind: z.literal('listing'),
    revision: z.number(),
    entries: z.array(entrySchema),
    /** As in a batch of `feedSchema`. */
    ageMs: z.number(),
  }),
  z.object({ kind: z.literal('elsewhere') }),
]);

/** Encodes the response to a snapshot request, compressing large values. */
export const encodeListing = ({ entries, ...listing }: AgedListing): Message => ({
  kind: 'listing',
  ...listing,
  entries: entries.map(encodeEntry),
});

/** Sent by a controller when its term ends. */
export const resignedSchema = z.object({
  kind: z.literal(PeerMessageKind.resigned),
  fence: z.number(),
  orderAges: z.record(z.string(), z.number()),
});

/** Parses a message from a peer; undefined if it does not match the schema. */
export const parseMessage = <T>(schema: z.ZodType<T>, message: Message): T | undefined => {
  const parsed = schema.safeParse(message);
  return parsed.success ? parsed.data : undefined;
};
