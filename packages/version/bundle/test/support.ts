import type { KeyObject } from 'node:crypto';
import {
  type Bundle,
  type Caller,
  type Clock,
  type Failure,
  type Message,
  type Peers,
  type PeerStream,
  type Random,
  type RequestHandler,
  SeededRandom,
  NoopTelemetry,
  type Store,
  type StreamHandler,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import {
  BundleExchange,
  BundleHolder,
  BundleReader,
  bundleDigest,
  generateKeys,
  parseBundle,
  proposeBundle,
  readPrivateKey,
  type SignedBundle,
  signOffBundle,
  TrustedKeys,
} from '../src';

/** Seed of the property tests; fuzz runs set other seeds. */
export const seed = Number(process.env.FUZZ_SEED ?? 1);

const nino = generateKeys();
const levan = generateKeys();
export const keys = {
  nino,
  levan,
  ninoKey: readPrivateKey(nino.privateKey)._unsafeUnwrap(),
  levanKey: readPrivateKey(levan.privateKey)._unsafeUnwrap(),
};
export const trusted = TrustedKeys.create({
  nino: nino.publicKey,
  levan: levan.publicKey,
})._unsafeUnwrap();

export const hashOf = (index: number): string => index.toString(16).padStart(64, '0');

export const callerOf = (index: number, fields: Partial<Caller> = {}): Caller => ({
  name: `stall-${index}`,
  keyHashes: [hashOf(index * 2), hashOf(index * 2 + 1)],
  items: ['quote-0', 'quote-1:*'],
  services: ['shipments'],
  maxPriority: 5,
  weight: 1,
  ...fields,
});

/** A first version with the given numbers of adapters and callers. */
export const firstBundle = (adapters: number, callers = 3): Bundle =>
  parseBundle({
    version: 1,
    previous: null,
    domains: [
      { name: 'perth-north', region: 'perth', founding: true },
      { name: 'kal-east', region: 'kalgoorlie', founding: true },
    ],
    callers: Array.from({ length: callers }, (_, index) => callerOf(index)),
    models: Array.from({ length: 4 }, (_, index) => ({
      name: `quote-${index}`,
      version: '1',
      bytes: 16_000_000_000,
      replicas: 2,
      pool: 'writer',
      calendar: [{ from: '22:00', to: '02:00' }],
    })),
    adapters: Array.from({ length: adapters }, (_, index) => ({
      name: `quote-${index % 4}:venue-${index}`,
      version: '1',
      bytes: 50_000_000,
      replicas: 2,
    })),
    services: [
      {
        name: 'shipments',
        pool: 'ledger',
        calls: [{ name: 'book', method: 'POST', repeatable: false }],
      },
    ],
  })._unsafeUnwrap();

export const next = (before: Bundle, fields: Partial<Bundle>): Bundle =>
  parseBundle({
    ...before,
    ...fields,
    version: before.version + 1,
    previous: bundleDigest(before),
  })._unsafeUnwrap();

export const signed = (bundle: Bundle, key: KeyObject = keys.ninoKey): SignedBundle =>
  signOffBundle(
    proposeBundle(bundle, 'nino', key),
    'levan',
    keys.levanKey,
    trusted,
  )._unsafeUnwrap();

/** In-process links between daemons; `loses` decides whether a message is lost, `delayMs` its delay. */
export class InMemoryLinks {
  readonly requests = new Map<string, RequestHandler>();

  readonly streams = new Map<string, StreamHandler>();

  loses = (): boolean => false;

  delayMs = (): number => 0;

  bytes = 0;

  constructor(readonly clock: Clock) {}

  async carry(message: Message): Promise<Result<Message, Failure>> {
    this.bytes += JSON.stringify(message).length;
    await this.clock.sleep(this.delayMs());
    return this.loses()
      ? err({ kind: 'unknown', step: 'peer.request', peer: 'peer', message: 'lost' })
      : ok(JSON.parse(JSON.stringify(message)) as Message);
  }

  peers(own: string): Peers {
    return {
      notify: (address, message) => {
        this.peers(own)
          .request(address, message, 1000)
          .catch(() => {});
      },
      request: async (address, message) => {
        const there = await this.carry(message);
        const handler = this.requests.get(`${address} ${message.kind}`);
        if (there.isErr() || handler === undefined) return there;
        return this.carry(await handler(there.value, own));
      },
      openStream: async (address, message, signal) => {
        const there = await this.carry({ kind: message.kind });
        const handler = this.streams.get(`${address} ${message.kind}`);
        if (there.isErr()) return err(there.error);
        return ok(this.stream(handler?.(message, own, signal)));
      },
      onRequest: (kind, handler) => this.requests.set(`${own} ${kind}`, handler),
      onStream: (kind, handler) => this.streams.set(`${own} ${kind}`, handler),
    };
  }

  private stream(source: AsyncIterable<Message> | undefined): PeerStream {
    const parts = async function* parts(
      links: InMemoryLinks,
    ): AsyncGenerator<Result<Message, Failure>> {
      for await (const message of source ?? []) {
        const arrived = await links.carry({ kind: message.kind });
        yield arrived.map(() => message);
        if (arrived.isErr()) return;
      }
    };
    return { parts: parts(this), cancel() {} };
  }
}

/** The components of one daemon that handle bundles. */
export const daemon = (
  address: string,
  store: Store,
  links: InMemoryLinks,
  options: { random?: Random; monotone?: boolean } = {},
) => {
  const { clock } = links;
  const holder = BundleHolder.create(trusted, { monotone: options.monotone ?? true });
  const reader = BundleReader.create(store, holder);
  const random = options.random ?? SeededRandom.create(1);
  const telemetry = NoopTelemetry.create();
  const peers = links.peers(address);
  const exchange = BundleExchange.create({ holder, reader, peers, clock, random, telemetry });
  return { address, holder, reader, exchange, store, clock, random, telemetry };
};
