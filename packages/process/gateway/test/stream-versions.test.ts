import {
  type Failure,
  FailureKind,
  type Message,
  NoopTelemetry,
  type Peers,
  SeededRandom,
} from '@currantdrift/core';
import {
  endpointRecord,
  MemoryPrefixStore,
  PrefixStoreHandle,
  VirtualClock,
} from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { err, ok, type Result } from 'neverthrow';
import { begunStreamsSchema, PeerMessageKind, parseMessage } from '../src/connection/peer-messages';
import { StreamHandling } from '../src/process/stream-handling';
import { decodeSoftwareRecord, softwarePrefix } from '../src/version/software-record';
import { streamsPrefix } from '../src/version/stored-streams';
import {
  daemonPrefix,
  encodeMember,
  type Member,
  memberPrefix,
  Members,
} from '../src/version/members';

const service = 's';

/** Lifetime of streams while no configuration is known, in ms. */
const lifetimeMs = 60_000;

const memberOf = (index: number): Member => ({
  host: `h${index}`,
  address: `h${index}`,
  domain: `d${index % 3}`,
  processors: 1,
});

const recordOf = (id: string, softwareVersion: string) =>
  endpointRecord({ id, service, softwareVersion });

/** Interval at which processes read the daemons' entries, and highest age of what they know, in ms. */
const readIntervalMs = 100;
const maxRecordAgeMs = 2_500;

/** A process of the fleet and what it can reach. */
interface TestProcess {
  readonly handling: StreamHandling;
  readonly directory: EndpointDirectory;
  readonly store: PrefixStoreHandle;
  /** Whether it reaches neither the store nor the other processes. */
  isCut: boolean;
  /** Time of the last read of the daemons' entries, and drift of its time of day, in ms. */
  readAt: number;
  driftMs: number;
}

/** Processes that share a store and a directory's contents; `kill` forgets what a process knows. */
class Fleet {
  readonly clock = VirtualClock.create();

  readonly store = MemoryPrefixStore.create(this.clock);

  readonly processes = new Map<string, TestProcess>();

  readonly messages: Message[] = [];

  private constructor(
    readonly count: number,
    private readonly stopped = new Map<string, AbortController>(),
  ) {}

  static create(count: number, ...versions: string[]): Fleet {
    const fleet = new Fleet(count);
    for (let index = 0; index < count; index += 1) fleet.start(index, versions);
    return fleet;
  }

  start(index: number, versions: readonly string[]): void {
    const self = memberOf(index);
    const telemetry = NoopTelemetry.create();
    const members = Members.create(telemetry, this.clock);
    members.onListing(
      Array.from({ length: this.count }, (_, other) => memberOf(other)).map((member) => ({
        key: memberPrefix + member.host,
        value: encodeMember(member),
        revision: 1,
      })),
    );
    const directory = EndpointDirectory.create();
    versions.forEach((version) => directory.put(recordOf(`e-${version}`, version)));
    const store = PrefixStoreHandle.create(this.store, this.clock);
    const peers = {
      request: async (address: string, message: Message) => this.ask(self.host, address, message),
    } as unknown as Peers;
    const handling = StreamHandling.create({
      store,
      clock: this.clock,
      random: SeededRandom.create(index + 1),
      telemetry,
      directory,
      self,
      members,
      peers,
      send: (address, message) => this.send(self.host, address, message),
      configuration: () => undefined,
      timeOfDay: () => this.clock.now() + this.process(index).driftMs,
      maxRecordAgeMs,
      recordAgeMs: (now) => now - this.process(index).readAt,
    });
    const stopped = new AbortController();
    this.stopped.set(self.host, stopped);
    const started = { handling, directory, store, isCut: false, readAt: -Infinity, driftMs: 0 };
    this.processes.set(self.host, started);
    this.follow(index, stopped.signal).catch(() => {});
    handling.run(stopped.signal).catch(() => {});
  }

  /** Cuts a process off from the store and the other processes. */
  cut(index: number): void {
    const found = this.process(index);
    found.isCut = true;
    found.store.cut = true;
  }

  kill(index: number): void {
    this.stopped.get(`h${index}`)?.abort();
    this.processes.delete(`h${index}`);
  }

  process(index: number) {
    const found = this.processes.get(`h${index}`);
    if (found === undefined) throw new Error(`h${index} does not run`);
    return found;
  }

  /** Begins a stream at a process. */
  async begin(index: number, request: string, softwareVersion: string): Promise<void> {
    this.process(index).handling.ledger.record({ request, service, softwareVersion });
    await this.clock.advance(100);
  }

  /** An endpoint joins, as all processes in touch see. */
  async join(softwareVersion: string): Promise<void> {
    this.processes.forEach(({ directory, isCut }) => {
      if (!isCut) directory.put(recordOf(`e-${softwareVersion}`, softwareVersion));
    });
    await this.clock.advance(1_000);
  }

  async leave(softwareVersion: string): Promise<void> {
    this.processes.forEach(({ directory }) => directory.remove(`e-${softwareVersion}`));
    await this.clock.advance(1_000);
  }

  /** The versions that the store's records name. */
  recorded(): unknown[] {
    return this.store
      .below(softwarePrefix)
      .flatMap((entry) => decodeSoftwareRecord(entry)?.versions ?? []);
  }

  find(index: number, request: string | undefined): Promise<string | undefined> {
    return this.clock.settle(this.process(index).handling.ledger.find(request, service));
  }

  /** Reads the daemons' entries until the process is killed. */
  private async follow(index: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const follower = this.process(index);
      if (!follower.isCut) {
        follower.handling.versions.onListing(this.store.below(daemonPrefix));
        follower.readAt = this.clock.now();
      }
      await this.clock.sleep(readIntervalMs, signal);
    }
  }

  private send(from: string, address: string, message: Message): void {
    this.messages.push(message);
    const begun = parseMessage(begunStreamsSchema, message);
    if (begun !== undefined) this.reach(from, address)?.handling.ledger.receive(begun);
  }

  private reach(from: string, address: string): TestProcess | undefined {
    const found = this.processes.get(address);
    return this.processes.get(from)?.isCut === true || found?.isCut === true ? undefined : found;
  }

  private ask(from: string, address: string, message: Message): Result<Message, Failure> {
    const found = this.reach(from, address);
    if (found === undefined) {
      return err({ kind: FailureKind.unreachable, step: 'ask', peer: address, message: 'killed' });
    }
    const { request } = message as { request?: string };
    const known = found.handling.ledger.get(request ?? '');
    return ok(known === undefined ? { kind: 'elsewhere' } : { ...known, kind: 'begun' });
  }
}

// Guards against a take-up that only the process which served the stream could place.
test('a stream is known after its process was killed', async () => {
  const fleet = Fleet.create(8, 'v1', 'v2');
  await fleet.clock.advance(1_000);
  await fleet.begin(0, 'r1', 'v1');
  await fleet.begin(0, 'r2', 'v2');
  fleet.kill(0);
  const seen = await Promise.all([1, 4, 7].flatMap((index) => [fleet.find(index, 'r1')]));
  expect(seen).toEqual(['v1', 'v1', 'v1']);
  expect(await fleet.find(3, 'r2')).toBe('v2');
});

// Guards against streams from before a release that nobody knows of when their process is killed.
test('streams in progress are told when a second version appears', async () => {
  const fleet = Fleet.create(8, 'v1');
  await fleet.clock.advance(1_000);
  await fleet.begin(0, 'r1', 'v1');
  expect(fleet.messages).toEqual([]);
  await fleet.join('v2');
  fleet.kill(0);
  expect(await fleet.find(5, 'r1')).toBe('v1');
});

test('a stream of which nothing is known is of the only version there is', async () => {
  const fleet = Fleet.create(3, 'v1');
  await fleet.clock.advance(1_000);
  expect([await fleet.find(0, 'r9'), await fleet.find(0, undefined)]).toEqual(['v1', 'v1']);
  await fleet.join('v2');
  expect([await fleet.find(0, 'r9'), await fleet.find(0, undefined)]).toEqual(['v1', 'v1']);
  // From now on streams may begin at the second version.
  await fleet.clock.advance(3_000);
  expect(fleet.process(0).handling.ledger.mayBegin(service, 'v2')).toBe(true);
  expect([await fleet.find(0, 'r9'), await fleet.find(0, undefined)]).toEqual([
    undefined,
    undefined,
  ]);
});

// Guards against processes that lose their memory together, shortly after the old version has left.
test('a version that has just left is known after all processes were killed', async () => {
  const fleet = Fleet.create(4, 'v1');
  await fleet.join('v2');
  await fleet.leave('v1');
  for (let index = 0; index < 4; index += 1) {
    fleet.kill(index);
    fleet.start(index, ['v2']);
  }
  expect(await fleet.find(2, 'r1')).toBeUndefined();
  await fleet.clock.advance(lifetimeMs / 2);
  expect(await fleet.find(2, 'r1')).toBeUndefined();
  // No stream of the old version can be left by now, and the entries are gone.
  await fleet.clock.advance(lifetimeMs);
  expect(await fleet.find(2, 'r1')).toBe('v2');
  expect(fleet.recorded()).toEqual([{ softwareVersion: 'v2', isSettled: true }]);
  const { revision } = fleet.store;
  await fleet.clock.advance(lifetimeMs);
  expect(fleet.store.revision).toBe(revision);
});

// Guards against processes that take the version they find at their start for the one of all streams.
test.each([
  ['has left', ['v2'], [undefined, undefined]],
  ['still serves', ['v1', 'v2'], ['v1', 'v1']],
])(
  'streams of a version that %s are of it after a release while all were down',
  async (_, versions, expected) => {
    const fleet = Fleet.create(3, 'v1');
    await fleet.clock.advance(1_000);
    await fleet.begin(0, 'r1', 'v1');
    for (let index = 0; index < 3; index += 1) fleet.kill(index);
    await fleet.clock.advance(1_000);
    for (let index = 0; index < 3; index += 1) fleet.start(index, versions);
    await fleet.clock.advance(200);
    const served = async () => {
      const version = await fleet.find(1, 'r1');
      return version !== undefined && versions.includes(version) ? version : undefined;
    };
    const seen = [await served()];
    await fleet.clock.advance(1_000);
    expect([...seen, await served()]).toEqual(expected);
    // A stream of the new version may have begun by now.
    await fleet.clock.advance(3_000);
    expect(await fleet.find(1, 'r1')).toBeUndefined();
  },
);

// Guards against a process that was cut off while a new version joined.
test('no stream begins at a version while a process that is cut off goes by the older one', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.clock.advance(1_000);
  fleet.cut(1);
  fleet.process(0).directory.put(recordOf('e-v2', 'v2'));
  const certain = [];
  const begins = [];
  const joinedAt = fleet.clock.now();
  for (let attempt = 0; attempt < 60; attempt += 1) {
    const atMs = fleet.clock.now() - joinedAt;
    const { ledger } = fleet.process(0).handling;
    if (ledger.mayBegin(service, 'v2')) begins.push(atMs);
    if ((await fleet.find(1, `r${attempt}`)) !== undefined) certain.push(atMs);
    expect(ledger.mayBegin(service, 'v1')).toBe(true);
    await fleet.clock.advance(100);
  }
  expect(Math.max(...certain)).toBeLessThan(begins[0]);
  // What it costs callers: take-ups are placed as before, and streams begin at the version within four seconds.
  expect([Math.max(...certain) > 2_000, begins[0] < 4_000]).toEqual([true, true]);
});

// Guards against messages that a process receives after it stood still, and that seem to be new.
test('a process that was suspended while a version joined does not guess', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.clock.advance(1_000);
  fleet.cut(1);
  fleet.process(0).directory.put(recordOf('e-v2', 'v2'));
  await fleet.clock.advance(4_000);
  expect(fleet.process(0).handling.ledger.mayBegin(service, 'v2')).toBe(true);
  const suspended = fleet.process(1);
  suspended.readAt = fleet.clock.now();
  suspended.driftMs += 4_000;
  const seen = new Set<string | undefined>();
  for (let attempt = 0; attempt < 30; attempt += 1) {
    seen.add(await fleet.find(1, `r${attempt}`));
    await fleet.clock.advance(100);
  }
  expect([...seen]).toEqual([undefined]);
});

// Guards against a pause of streams when the endpoints of a service's only version come back.
test('a version that comes back alone need not settle again', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.leave('v1');
  await fleet.clock.advance(3 * lifetimeMs);
  await fleet.join('v1');
  expect(fleet.process(0).handling.ledger.mayBegin(service, 'v1')).toBe(true);
});

// Guards against take-ups that are refused although the store can tell that there is one version.
test('a process whose records are of unknown age reads the store', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.clock.advance(1_000);
  fleet.process(1).driftMs += 3_000;
  expect(await fleet.find(1, 'r1')).toBe('v1');
});

// Guards against a refusal that waits for a store which cannot be reached.
test('a process that is out of touch refuses at once', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.clock.advance(1_000);
  fleet.cut(1);
  await fleet.clock.advance(maxRecordAgeMs);
  const startedAt = fleet.clock.now();
  expect(await fleet.find(1, 'r1')).toBeUndefined();
  expect(fleet.clock.now() - startedAt).toBeLessThan(100);
});

// Guards against take-ups that are all refused, or joined, after a kill of all processes at once.
test('streams are known after all processes were killed, until they must have ended', async () => {
  const fleet = Fleet.create(4, 'v1');
  await fleet.clock.advance(1_000);
  await fleet.begin(0, 'r1', 'v1');
  await fleet.join('v2');
  await fleet.begin(1, 'r2', 'v2');
  await fleet.clock.advance(1_000);
  // Begins shortly before the kill; `begin` lets 100 ms pass.
  await fleet.begin(1, 'r3', 'v1');
  for (let index = 0; index < 4; index += 1) fleet.kill(index);
  for (let index = 0; index < 4; index += 1) fleet.start(index, ['v1', 'v2']);
  const seen = [];
  for (const request of ['r1', 'r2', 'r3', 'r9']) seen.push(await fleet.find(2, request));
  expect(seen).toEqual(['v1', 'v2', 'v1', undefined]);
  await fleet.clock.advance(3 * lifetimeMs);
  expect(fleet.store.below(streamsPrefix)).toEqual([]);
});

// Guards against a process that was cut off and has not heard of another version.
test('a process that may have missed another version does not guess', async () => {
  const fleet = Fleet.create(2, 'v1');
  await fleet.clock.advance(1_000);
  fleet.cut(0);
  await fleet.clock.advance(5_000);
  expect(await fleet.find(0, 'r1')).toBeUndefined();
});

// Guards against a cost that grows with the fleet: each stream is told to two members at most.
test('the messages for a stream do not grow with the fleet', async () => {
  const fleet = Fleet.create(60, 'v1', 'v2');
  await fleet.clock.advance(1_000);
  const requests = Array.from({ length: 20 }, (_, index) => `r${index}`);
  requests.forEach((request) =>
    fleet.process(0).handling.ledger.record({ request, service, softwareVersion: 'v1' }),
  );
  await fleet.clock.advance(100);
  const told = fleet.messages
    .filter(({ kind }) => kind === PeerMessageKind.streams)
    .flatMap((message) => (message as unknown as { requests: string[] }).requests);
  expect(told.length).toBe(2 * requests.length);
});

test('an entry of another writer changes nothing', () => {
  const fleet = Fleet.create(1, 'v1');
  const { versions } = fleet.process(0).handling;
  const entry = (value: string) => ({
    key: `${softwarePrefix}x`,
    value: Buffer.from(value),
    revision: 9,
  });
  ['', '[', '{"service":7}', '['.repeat(100_000)].forEach((value) =>
    versions.onChange({ kind: 'put', entry: entry(value) }),
  );
  expect(versions.isMixed(service)).toBe(false);
});
