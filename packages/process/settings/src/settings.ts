import { z } from 'zod';

/** `ip:port`. Host names are not accepted: processes connect by IP address without name lookups. */
const address = z
  .string()
  .regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    'expected an IPv4 address and port such as 10.0.0.5:8080',
  );

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected 1 to 63 lower-case letters, digits or hyphens');

const milliseconds = z.int().min(0).max(86_400_000);

const callers = z.strictObject({
  address,
  /** Largest request body, in bytes. */
  maxBodyBytes: z.int().min(1024).max(16_777_216).default(1_048_576),
  /** Time limit for receiving a whole request, in ms. */
  bodyTimeoutMs: milliseconds.default(10_000),
  /** Deadline of requests that do not set one, in ms. */
  defaultDeadlineMs: milliseconds.default(120_000),
  /** Longest deadline that a caller may request, in ms. */
  maxDeadlineMs: milliseconds.default(600_000),
});

const operators = z.strictObject({
  address,
  /** Lower-case hexadecimal SHA-256 of each valid operator bearer token. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits')).min(1),
});

const peers = z.strictObject({
  address,
  /** Peer addresses to contact in addition to those of the host list. */
  seeds: z.array(address).default([]),
});

const platform = z.strictObject({
  store: address,
  hosts: address,
  /** Timeout of a call to the platform, in ms. */
  timeoutMs: milliseconds.default(1000),
});

const prices = z.strictObject({
  /** Price of one hour of an accelerator that is warm and idle. */
  idleHour: z.number().min(0),
  /** Price of one second that a request waits for a cold start. */
  coldSecond: z.number().min(0),
  /** Exponent that makes the price of a cold start grow faster than its length; 0 keeps it linear. */
  tailExponent: z.number().min(0).max(4).default(0),
  /** Memory of one accelerator, in bytes; an item is charged for the fraction that it occupies. */
  acceleratorBytes: z.number().positive().default(80_000_000_000),
});

const weights = z.strictObject({
  /** Number of loads that the weight store can start per second, over all domains. */
  loadsPerSecond: z.number().positive().default(4),
  /** Number of concurrent loads that the weight store serves at full speed, over all domains. */
  loadsAtOnce: z.int().positive().default(4),
  /** Speed of one load, in bytes per second. */
  bytesPerSecond: z.number().positive().default(2_000_000_000),
  /** Number of concurrent adapter fetches served at full speed, over all domains. */
  adapterTransits: z.int().positive().default(30),
});

const queue = z.strictObject({
  /** Maximum number of requests in one queue. */
  capacity: z.int().positive().default(1000),
  /** Maximum number of requests of one caller in one queue. */
  callerCapacity: z.int().positive().default(200),
});

const stopping = z.strictObject({
  /** Time between failing the readiness check and rejecting new connections, in ms. */
  drainDelayMs: milliseconds.default(2000),
  /** Time after which open requests are aborted and logged, in ms. */
  timeoutMs: milliseconds.default(120_000),
});

const limits = z.strictObject({
  /** Memory of the host that the daemon may use, in MB. */
  memoryMb: z.number().positive().optional(),
  /** File descriptors that the daemon may use. */
  maxFds: z.int().positive().optional(),
  /** Connections to one port that a client address may have open; unlimited by default. */
  connectionsPerAddress: z.int().positive().optional(),
});

const telemetry = z.strictObject({
  /** Destination of spans, written as JSON lines: a file name, `stderr` or `none`. */
  traces: z.string().min(1).default('none'),
  /** Log groups to enable, in the syntax of the DEBUG variable. */
  logs: z.string().default('currantdrift:*'),
});

/** Describes an invalid trusted key. A `.pem` name at this point is a file that could not be read. */
const describeKeyIssue = (key: unknown): string => {
  if (typeof key !== 'string' || !key.endsWith('.pem')) return 'expected a public key in PEM';
  const pair = key.replace(/(\.pub)?\.pem$/, '');
  return (
    'the file does not exist or cannot be read; ' +
    `"currantdrift keys generate ${pair}" makes it, run in the folder of the settings`
  );
};

const publicKey = z
  .string()
  .includes('BEGIN PUBLIC KEY', { error: ({ input }) => describeKeyIssue(input) });

/** Schema of a daemon's settings file. */
export const settingsSchema = z.strictObject({
  name,
  deployment: name,
  domain: name,
  region: name,
  callers,
  operators,
  peers,
  platform,
  /**
   * Ed25519 public keys by operator name, which verify the signatures of bundles. A key is PEM
   * text or the name of a `.pem` file, relative to the settings file.
   */
  trustedKeys: z
    .record(name, publicKey)
    .refine((keys) => Object.keys(keys).length >= 2, 'expected the keys of two or more operators'),
  prices,
  weights: weights.prefault({}),
  queue: queue.prefault({}),
  stopping: stopping.prefault({}),
  limits: limits.prefault({}),
  telemetry: telemetry.prefault({}),
});

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
