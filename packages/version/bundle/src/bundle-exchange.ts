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
import { decodeSignedBundle, joinChunks, splitChunks } from './bundle-codec';
import { type BundleHolder, maxDeltaChain } from './bundle-holder';
import type { BundleReader } from './bundle-reader';
import { type Delta, parseDelta } from './delta';
import type { Rejection } from './rejection';

/** Message kinds for exchanging bundles between daemons. */
export const BundleMessage = {
  /** Announces the sender's version. */
  version: 'bundle.version',
  /** Requests the deltas after a version. */
  deltas: 'bundle.deltas',
  /** Opens a stream of the parts of the whole bundle. */
  whole: 'bundle.whole',
} as const;

/** Time without contact to a relay after which the store is read directly, in ms. */
export const relayTimeoutMs = 2_000;

/** Minimum delay before another pull from a peer after a failed one, in ms. */
const pullRetryMs = 1_000;
const requestTimeoutMs = 3_000;
const wholeTimeoutMs = 30_000;
/** Largest reply of deltas, in bytes of JSON; beyond that the whole bundle costs no more. */
const maxDeltasBytes = 200_000;
/** Size of one stream message of a whole bundle, in bytes. */
const partBytes = 64_000;
/** Largest whole bundle that is accepted from a peer, in compressed bytes. */
const maxWholeBytes = 32_000_000;

const versionSchema = z.looseObject({ version: z.int().min(0) });
const deltasRequestSchema = z.looseObject({ version: z.int().min(0), digest: z.string() });
const deltasReplySchema = z.looseObject({
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

interface PeerVersion {
  readonly version: number;
  readonly address: string;
}

/** Distributes bundles between daemons: each pulls newer versions from a peer that has them. */
export class BundleExchange {
  private newest: PeerVersion | undefined;

  private pulling = false;

  private lastRelayContactAt = 0;

  /** Time of the last failed pull by address. */
  private readonly lastFailureAt = new Map<string, number>();

  private constructor(private readonly options: BundleExchangeOptions) {}

  /** Registers the handlers of bundle messages with `options.peers`. */
  static create(options: BundleExchangeOptions): BundleExchange {
    const exchange = new BundleExchange(options);
    exchange.lastRelayContactAt = options.clock.now();
    const { peers } = options;
    peers.onRequest(BundleMessage.version, (message, from) => exchange.onVersion(message, from));
    peers.onRequest(BundleMessage.deltas, (message) => exchange.onDeltas(message));
    peers.onStream(BundleMessage.whole, () => exchange.onWhole());
    return exchange;
  }

  /** Announces this process's version to peers; called by a relay that has a new one. */
  announce(addresses: readonly string[]): void {
    const message = { kind: BundleMessage.version, version: this.options.holder.version };
    addresses.forEach((address) => this.options.peers.notify(address, message));
  }

  /** Called with the version that any message of a peer carries. Pulls it if it is higher. */
  observeVersion(version: number, address: string, now: number): void {
    if (version <= this.options.holder.version) return;
    if (now - (this.lastFailureAt.get(address) ?? -pullRetryMs) < pullRetryMs) return;
    if (version >= (this.newest?.version ?? 0)) this.newest = { version, address };
    // eslint-disable-next-line no-void -- the pull reports its own failures
    if (!this.pulling) void this.pullNewest();
  }

  /** Called after any message from a relay of the domain, or a response of the store. */
  recordRelayContact(now: number): void {
    this.lastRelayContactAt = now;
  }

  /** Reads the store periodically while there is no contact to a relay. Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, reader } = this.options;
    while (!signal.aborted) {
      // Jitter prevents the daemons of a domain from reading the store at the same time.
      await clock.sleep(relayTimeoutMs * (0.5 + random.next()), signal);
      if (!signal.aborted && clock.now() - this.lastRelayContactAt >= relayTimeoutMs) {
        const loaded = await reader.load();
        if (loaded.isErr()) this.report('store', loaded.error);
      }
    }
  }

  /**
   * Loads the newest version into a new process: from the store, or else from the peer with the
   * highest version. Returns the version in force afterwards; 0 if the store has none yet.
   */
  async loadNewest(addresses: readonly string[]): Promise<Result<number, Failure | Rejection>> {
    const loaded = await this.options.reader.load();
    if (loaded.isOk()) return loaded;
    const found = await Promise.all(addresses.map((address) => this.requestVersion(address)));
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

  /** Pulls newer versions from a peer. Returns the version in force afterwards. */
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
    return this.pullWholeBundle(address);
  }

  private onVersion(message: Message, from: string): Message {
    const parsed = versionSchema.safeParse(message);
    if (parsed.success) this.observeVersion(parsed.data.version, from, this.options.clock.now());
    return { kind: BundleMessage.version, version: this.options.holder.version };
  }

  private onDeltas(message: Message): Message {
    const { holder } = this.options;
    const parsed = deltasRequestSchema.safeParse(message);
    const request = parsed.success ? parsed.data : { version: 0, digest: '' };
    const isInRange = request.version > 0 && holder.version - request.version <= maxDeltaChain;
    const found = isInRange ? holder.deltasSince(request.version, request.digest) : undefined;
    const isSmall = found !== undefined && JSON.stringify(found).length <= maxDeltasBytes;
    const deltas = isSmall || request.version >= holder.version ? (found ?? []) : null;
    return { kind: BundleMessage.deltas, version: holder.version, deltas };
  }

  private async *onWhole(): AsyncGenerator<Message> {
    const whole = this.options.holder.whole();
    if (whole === undefined) return;
    const parts = splitChunks(whole, partBytes);
    for (const bytes of parts) yield { kind: BundleMessage.whole, count: parts.length, bytes };
  }

  /** Pulls until no peer is known to have a higher version. */
  private async pullNewest(): Promise<void> {
    this.pulling = true;
    try {
      while (this.newest !== undefined && this.newest.version > this.options.holder.version) {
        const { address } = this.newest;
        this.newest = undefined;
        await this.pullAndRecord(address);
      }
    } finally {
      this.pulling = false;
    }
  }

  private async pullAndRecord(address: string): Promise<void> {
    const pulled = await this.pull(address);
    if (pulled.isOk()) {
      this.lastFailureAt.delete(address);
    } else {
      this.lastFailureAt.set(address, this.options.clock.now());
      this.report(address, pulled.error);
    }
  }

  private async requestVersion(address: string): Promise<PeerVersion | undefined> {
    const message = { kind: BundleMessage.version, version: this.options.holder.version };
    const reply = await this.options.peers.request(address, message, requestTimeoutMs);
    const parsed = versionSchema.safeParse(reply.unwrapOr(undefined));
    return parsed.success ? { version: parsed.data.version, address } : undefined;
  }

  /** The peer's deltas after the version in force; undefined if only the whole bundle is available. */
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
    const parsed = deltasReplySchema.safeParse(reply.value);
    if (!parsed.success) return err(this.invalid(address, 'the reply has no deltas'));
    const deltas: Delta[] = [];
    for (const value of parsed.data.deltas ?? []) {
      const delta = parseDelta(value);
      if (delta.isErr()) return err({ ...delta.error, peer: address });
      deltas.push(delta.value);
    }
    return ok(parsed.data.deltas === null ? undefined : deltas);
  }

  private async pullWholeBundle(address: string): Promise<Result<number, Failure | Rejection>> {
    const { holder, clock } = this.options;
    const abort = new AbortController();
    const done = new AbortController();
    // eslint-disable-next-line no-void -- the timeout of the stream; cancelled when the stream ends
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
