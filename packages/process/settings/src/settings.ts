import { z } from 'zod';

/** `ip:port`; the name is not resolved, processes talk by IP number. */
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
  /** Time in which a caller has to send its whole request, in ms. */
  bodyTimeoutMs: milliseconds.default(10_000),
  /** Deadline of requests that name none, in ms. */
  defaultDeadlineMs: milliseconds.default(120_000),
  /** Longest deadline that a caller may ask for, in ms. */
  maxDeadlineMs: milliseconds.default(600_000),
});

const operators = z.strictObject({
  address,
  /** Lower-case hexadecimal SHA-256 of each bearer token that operators may use. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits')).min(1),
});

const peers = z.strictObject({
  address,
  /** Peer addresses that are tried besides those of the host list. */
  seeds: z.array(address).default([]),
});

const platform = z.strictObject({
  store: address,
  hosts: address,
  /** Time after which a call counts as lost, in ms. */
  timeoutMs: milliseconds.default(1000),
});

const prices = z.strictObject({
  /** Price of an accelerator hour that is warm and idle. */
  idleHour: z.number().min(0),
  /** Price of a second that a request waits for a cold start. */
  coldSecond: z.number().min(0),
  /** Exponent by which long cold starts cost more than in proportion; 0 if they do not. */
  tailExponent: z.number().min(0).max(4).default(0),
  /** Memory of one accelerator, in bytes; an item costs its share of it. */
  acceleratorBytes: z.number().positive().default(80_000_000_000),
});

const weights = z.strictObject({
  /** Loads that the weight store starts a second, over all domains. */
  loadsPerSecond: z.number().positive().default(4),
  /** Loads that the weight store serves at once at full speed, over all domains. */
  loadsAtOnce: z.int().positive().default(4),
  /** Speed of one load, in bytes per second. */
  bytesPerSecond: z.number().positive().default(2_000_000_000),
  /** Adapter fetches in transit at full speed, over all domains. */
  adapterTransits: z.int().positive().default(30),
});

const queue = z.strictObject({
  /** Requests that may wait in one queue. */
  capacity: z.int().positive().default(1000),
  /** Requests of one caller that may wait in one queue. */
  callerCapacity: z.int().positive().default(200),
});

const stopping = z.strictObject({
  /** Time between failing the readiness check and refusing connections, in ms. */
  drainDelayMs: milliseconds.default(2000),
  /** Time after which open requests are cut and logged, in ms. */
  timeoutMs: milliseconds.default(120_000),
});

const telemetry = z.strictObject({
  /** Where spans go as JSON lines: a file, `stderr` or `none`. */
  traces: z.string().min(1).default('none'),
  /** Names of log groups, as the DEBUG variable takes them. */
  logs: z.string().default('currantdrift:*'),
});

/** What is wrong with a trusted key; a name still standing here is of a file that was not read. */
const keyMistake = (key: unknown): string => {
  if (typeof key !== 'string' || !key.endsWith('.pem')) return 'expected a public key in PEM';
  const pair = key.replace(/(\.pub)?\.pem$/, '');
  return (
    'the file does not exist or cannot be read; ' +
    `"currantdrift keys generate ${pair}" makes it, run in the folder of the settings`
  );
};

const publicKey = z
  .string()
  .includes('BEGIN PUBLIC KEY', { error: ({ input }) => keyMistake(input) });

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
   * Ed25519 public keys by operator name; they decide which bundles are accepted. A key is PEM
   * text, or the name of a `.pem` file relative to the settings file.
   */
  trustedKeys: z
    .record(name, publicKey)
    .refine((keys) => Object.keys(keys).length >= 2, 'expected the keys of two or more operators'),
  prices,
  weights: weights.prefault({}),
  queue: queue.prefault({}),
  stopping: stopping.prefault({}),
  telemetry: telemetry.prefault({}),
});

/** A daemon's checked settings. */
export type Settings = z.infer<typeof settingsSchema>;
