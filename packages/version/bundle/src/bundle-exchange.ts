import {
  type Clock,
  type Failure,
  FailureKind,
  type Message,
  type Peers,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type BundleHolder, maxChain } from './bundle-holder';
import type { BundleReader } from './bundle-reader';
import { type Delta, parseDelta } from './delta';
import { decodeSignedBundle, joinChunks, splitChunks } from './payload';
import type { Rejection } from './rejection';

/** Kinds of messages between daemons about bundles. */
export const BundleMessage = {
  /** Tells the sender's version. */
  version: 'bundle.version',
  /** Asks for the deltas after a version. */
  deltas: 'bundle.deltas',
  /** Opens a stream of the chunks of the whole bundle. */
  whole: 'bundle.whole',
} as const;

/** Time without a sign of a relay after which the store is read directly, in ms. */
export const relaySilenceMs = 2_000;

/** Shortest time between two pulls from a peer whose last pull failed, in ms. */
const retryPullMs = 1_000;
const requestTimeoutMs = 3_000;
const wholeTimeoutMs = 30_000;
/** Largest reply of deltas, in bytes of JSON; above it the whole bundle is cheaper or as cheap. */
const maxDeltasBytes = 200_000;
/** Part of a whole bundle in one stream message, in bytes. */
const partBytes = 64_000;
/** Largest whole bundle taken from a peer, in compressed bytes. */
const maxWholeBytes = 32_000_000;

const versionSchema = z.looseObject({ version: z.int().min(0) });
const askSchema = z.looseObject({ version: z.int().min(0), digest: z.string() });
const deltasSchema = z.looseObject({
  version: z.int().min(0),
  deltas: z.array(z.unknown()).nullable(),
});
const partSchema = z.looseObject({ count: z.int().min(1), bytes: z.instanceof(Uint8Array) });

export interface BundleExchangeOptions {
  readonly holder: BundleHolder;
  readonly reader: BundleReader;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
}

interface Sighting {
  readonly version: number;
  readonly address: string;
}

/** Spreads bundles between daemons: each pulls what it lacks from a peer that has it. */
export class BundleExchange {
  private newest: Sighting | undefined;

  private pulling = false;

  private relayAt = 0;

  /** Time of the last failed pull by address. */
  private readonly failedAt = new Map<string, number>();

  private constructor(private readonly options: BundleExchangeOptions) {}

  /** Registers the handlers of bundle messages with `options.peers`. */
  static create(options: BundleExchangeOptions): BundleExchange {
    const exchange = new BundleExchange(options);
    exchange.relayAt = options.clock.now();
    const { peers } = options;
    peers.onRequest(BundleMessage.version, (message, from) => exchange.onVersion(message, from));
    peers.onRequest(BundleMessage.deltas, (message) => exchange.onDeltas(message));
    peers.onStream(BundleMessage.whole, () => exchange.onWhole());
    return exchange;
  }

  /** Tells peers this process's version, for a relay that has a new one. */
  announce(addresses: readonly string[]): void {
    const message = { kind: BundleMessage.version, version: this.options.holder.version };
    addresses.forEach((address) => this.options.peers.notify(address, message));
  }

  /** To be called with the version that any message of a peer carries. Pulls if it is higher. */
  observeVersion(version: number, address: string, now: number): void {
    if (version <= this.options.holder.version) return;
    if (now - (this.failedAt.get(address) ?? -retryPullMs) < retryPullMs) return;
    if (version >= (this.newest?.version ?? 0)) this.newest = { version, address };
    // eslint-disable-next-line no-void -- the pull reports its own failures
    if (!this.pulling) void this.pullNewest();
  }

  /** To be called when anything was heard from a relay of the domain, or the store answered. */
  recordRelayContact(now: number): void {
    this.relayAt = now;
  }

  /** Reads the store with jitter while no relay is heard. Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, reader } = this.options;
    while (!signal.aborted) {
      // The jitter keeps the daemons of a domain from reading the store at the same moment.
      await clock.sleep(relaySilenceMs * (0.5 + random.next()), signal);
      if (!signal.aborted && clock.now() - this.relayAt >= relaySilenceMs) {
        const loaded = await reader.load();
        if (loaded.isErr()) this.report('store', loaded.error);
      }
    }
  }

  /**
   * Finds the highest version for a new process: from the store, else the highest of the peers.
   * Gives the version in force afterwards; 0 if the store says that there is none yet.
   */
  async loadNewest(addresses: readonly string[]): Promise<Result<number, Failure | Rejection>> {
    const loaded = await this.options.reader.load();
    if (loaded.isOk()) return loaded;
    const found = await Promise.all(addresses.map((address) => this.ask(address)));
    const best = found
      .flatMap((sighting) => (sighting === undefined ? [] : [sighting]))
      .filter(({ version }) => version > this.options.holder.version)
      .sort((a, b) => b.version - a.version);
    for (const { address } of best) {
      const pulled = await this.pull(address);
      if (pulled.isOk()) return pulled;
    }
    const { version } = this.options.holder;
    return version > 0 ? ok(version) : err(loaded.error);
  }

  /** Takes whatever a peer has that is newer. Gives the version in force afterwards. */
  async pull(address: string): Promise<Result<number, Failure | Rejection>> {
    const { holder } = this.options;
    const deltas = await this.requestDeltas(address);
    if (deltas.isErr()) return err(deltas.error);
    const { value } = deltas;
    if (value !== undefined) {
      const fresh = value.filter(({ version }) => version > holder.version);
      if (fresh.length === 0) return ok(holder.version);
      const accepted = holder.acceptDeltas(fresh, address);
      if (accepted.isOk()) return ok(holder.version);
      this.report(address, accepted.error);
    }
    return this.pullWhole(address);
  }

  private onVersion(message: Message, from: string): Message {
    const parsed = versionSchema.safeParse(message);
    if (parsed.success) this.observeVersion(parsed.data.version, from, this.options.clock.now());
    return { kind: BundleMessage.version, version: this.options.holder.version };
  }

  private onDeltas(message: Message): Message {
    const { holder } = this.options;
    const parsed = askSchema.safeParse(message);
    const asked = parsed.success ? parsed.data : { version: 0, digest: '' };
    const near = asked.version > 0 && holder.version - asked.version <= maxChain;
    const found = near ? holder.deltasSince(asked.version, asked.digest) : undefined;
    const small = found !== undefined && JSON.stringify(found).length <= maxDeltasBytes;
    const deltas = small || asked.version >= holder.version ? (found ?? []) : null;
    return { kind: BundleMessage.deltas, version: holder.version, deltas };
  }

  private async *onWhole(): AsyncGenerator<Message> {
    const whole = this.options.holder.whole();
    if (whole === undefined) return;
    const parts = splitChunks(whole, partBytes);
    for (const bytes of parts) yield { kind: BundleMessage.whole, count: parts.length, bytes };
  }

  /** Pulls until no higher version is known. */
  private async pullNewest(): Promise<void> {
    this.pulling = true;
    try {
      while (this.newest !== undefined && this.newest.version > this.options.holder.version) {
        const { address } = this.newest;
        this.newest = undefined;
        await this.pullAndNote(address);
      }
    } finally {
      this.pulling = false;
    }
  }

  private async pullAndNote(address: string): Promise<void> {
    const pulled = await this.pull(address);
    if (pulled.isOk()) {
      this.failedAt.delete(address);
    } else {
      this.failedAt.set(address, this.options.clock.now());
      this.report(address, pulled.error);
    }
  }

  private async ask(address: string): Promise<Sighting | undefined> {
    const message = { kind: BundleMessage.version, version: this.options.holder.version };
    const reply = await this.options.peers.request(address, message, requestTimeoutMs);
    const parsed = versionSchema.safeParse(reply.unwrapOr(undefined));
    return parsed.success ? { version: parsed.data.version, address } : undefined;
  }

  /** The peer's deltas after the version held; undefined if it can only give the whole. */
  private async requestDeltas(
    address: string,
  ): Promise<Result<readonly Delta[] | undefined, Failure | Rejection>> {
    const { holder, peers } = this.options;
    const { version } = holder;
    const digest = holder.current?.digest ?? '';
    if (version === 0) return ok(undefined);
    const message = { kind: BundleMessage.deltas, version, digest };
    const reply = await peers.request(address, message, requestTimeoutMs);
    if (reply.isErr()) return err(reply.error);
    const parsed = deltasSchema.safeParse(reply.value);
    if (!parsed.success) return err(this.invalid(address, 'the reply has no deltas'));
    const deltas: Delta[] = [];
    for (const value of parsed.data.deltas ?? []) {
      const delta = parseDelta(value);
      if (delta.isErr()) return err({ ...delta.error, peer: address });
      deltas.push(delta.value);
    }
    return ok(parsed.data.deltas === null ? undefined : deltas);
  }

  private async pullWhole(address: string): Promise<Result<number, Failure | Rejection>> {
    const { holder, clock } = this.options;
    const abort = new AbortController();
    const done = new AbortController();
    // eslint-disable-next-line no-void -- bounds the stream; ends with it
    void clock.sleep(wholeTimeoutMs, done.signal).then(() => abort.abort());
    const bytes = await this.readParts(address, abort.signal);
    done.abort();
    if (bytes.isErr()) return err(bytes.error);
    const signed = decodeSignedBundle(bytes.value);
    if (signed.isErr()) return err({ ...signed.error, peer: address });
    if (signed.value.bundle.version <= holder.version) return ok(holder.version);
    return holder.acceptBundle(signed.value, address).map(({ version }) => version);
  }

  private async readParts(
    address: string,
    signal: AbortSignal,
  ): Promise<Result<Uint8Array, Failure>> {
    const stream = await this.options.peers.openStream(
      address,
      { kind: BundleMessage.whole },
      signal,
    );
    if (stream.isErr()) return err(stream.error);
    const chunks: Uint8Array[] = [];
    let count = 0;
    let size = 0;
    for await (const part of stream.value.parts) {
      if (part.isErr()) return err(part.error);
      const parsed = partSchema.safeParse(part.value);
      size += parsed.success ? parsed.data.bytes.length : 0;
      if (!parsed.success || size > maxWholeBytes) {
        stream.value.cancel();
        return err(this.invalid(address, 'a part of the whole bundle is not valid'));
      }
      count = parsed.data.count;
      chunks.push(parsed.data.bytes);
    }
    return count > 0 && chunks.length === count
      ? ok(joinChunks(chunks))
      : err(this.invalid(address, `${chunks.length} of ${count} parts arrived`));
  }

  private invalid(peer: string, message: string): Failure {
    return { kind: FailureKind.invalid, step: 'bundle.pull', peer, message };
  }

  private report(peer: string, { kind, step, message }: Failure | Rejection): void {
    this.options.telemetry.log('bundle.pull_failed', { kind, step, peer, message });
  }
}
