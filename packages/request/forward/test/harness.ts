import { createServer, type IncomingMessage, request, type Server } from 'node:http';
import { type AddressInfo, connect, createServer as createTcpServer, type Socket } from 'node:net';
import {
  AnswerTimes,
  type Clock,
  SeededRandom,
  NoopTelemetry,
  MonotonicClock,
  PlannedStop,
  type WakeRefusal,
} from '@currantdrift/core';
import { RetryBudget } from '@currantdrift/attempt';
import { endpointRecord } from '@currantdrift/fakes';
import {
  EndpointDirectory,
  type EndpointRecord,
  LimitObserver,
  type LoadedModel,
} from '@currantdrift/fleet';
import { ByteBudget, type Head, type Headers, HttpClient, ShedReport } from '@currantdrift/http';
import {
  type Configuration,
  type CustomerTable,
  RequestKind,
  type Route,
} from '@currantdrift/routes';
import { CrashLedger, type CrashReport, CrashWatch, EngineState } from '@currantdrift/quarantine';
import type { RequestQuotas } from '@currantdrift/quota';
import { MemberPermits, PermitIssuer, defaultRateLimitSettings } from '@currantdrift/rate-limit';
import { EndpointRooms, PredictiveBalancer } from '@currantdrift/routing';
import { err, ok, type Result } from 'neverthrow';
import {
  AdmissionControl,
  Authorizer,
  type BegunStream,
  defaultForwardSettings,
  type EndpointProtocol,
  EndpointSignals,
  Forwarder,
  type ForwardingFields,
  ModelUsage,
  type ModelWaker,
  QuotaAdmission,
  RetrySpread,
} from '../src';

const first = (value: string | string[] | undefined) => (Array.isArray(value) ? value[0] : value);

/** A protocol with plain header names that no platform uses. */
const protocol: EndpointProtocol = {
  requestFields: (headers: Headers): ReturnType<EndpointProtocol['requestFields']> => {
    const id = first(headers.id);
    return id === undefined || id === ''
      ? err({ field: 'id', expected: 'an identifier' })
      : ok({
          id,
          deadlineMs: Number(first(headers.deadline) ?? 2_000),
          caller: first(headers.authorization),
          apiKey: first(headers.authorization),
          model: first(headers.model)?.split('/')[0],
          adapter: first(headers.model)?.split('/')[1],
          promptTokens: Number(first(headers.tokens) ?? 10),
          maxNewTokens: 10,
          resumesAfter: first(headers['last-event-id']),
          resumes: first(headers.resumes),
          promptParts: first(headers.prompt)?.split(' ') ?? [],
        });
  },
  requestHeaders: (headers: Headers, envelope: ForwardingFields) => ({
    host: first(headers.host) ?? '',
    id: first(headers.id) ?? '',
    only: envelope.endpoint,
    ...(headers.tokens !== undefined && { tokens: first(headers.tokens) ?? '' }),
    ...(envelope.identity?.customer === undefined ? {} : { customer: envelope.identity.customer }),
    deadline: String(envelope.deadlineMs),
    ...(headers.prompt === undefined ? {} : { prompt: first(headers.prompt) ?? '' }),
    ...(headers['last-event-id'] === undefined
      ? {}
      : { after: first(headers['last-event-id']) ?? '' }),
    ...(envelope.resumeAfter === undefined ? {} : { after: envelope.resumeAfter }),
  }),
  responseHeaders: (headers: Headers) => ({ seal: first(headers.seal) ?? '' }),
  isNotRun: (head: Head) => head.status === 421 || head.headers['not-run'] !== undefined,
  isMisdirected: (head: Head) => head.status === 421,
  responseRequestId: (head: Head) => first(head.headers.id),
  isSealed: (head: Head) => head.headers.seal !== undefined,
  reportedLoad: () => undefined,
  respondingEndpoint: (head: Head) => first(head.headers.from),
  statedLimit: ({ headers }: Head) =>
    headers.limit === undefined
      ? { kind: 'none' }
      : { kind: 'limit', ratePerS: Number(first(headers.limit)) },
  isLeaving: (head: Head) => head.headers.leaving !== undefined,
  pauseMs: (head: Head) =>
    head.headers.pause === undefined ? undefined : Number(first(head.headers.pause)),
};

/** Serves one request to an endpoint by writing to the connection. */
export type Behaviour = (socket: Socket, request: string) => void;

/** An endpoint whose answers are controlled byte by byte. */
export class RawEndpoint {
  readonly requests: string[] = [];

  /** Number of closed connections. */
  closed = 0;

  private constructor(
    readonly id: string,
    private readonly server: ReturnType<typeof createTcpServer>,
  ) {}

  static async create(id: string, behaviour: Behaviour): Promise<RawEndpoint> {
    const server = createTcpServer();
    const endpoint = new RawEndpoint(id, server);
    server.on('connection', (socket) => {
      let text = '';
      socket.on('error', () => {});
      socket.on('close', () => {
        endpoint.closed += 1;
      });
      socket.on('data', (chunk) => {
        text += chunk.toString();
        if (!text.includes('\r\n\r\n')) return;
        endpoint.requests.push(text);
        behaviour(socket, text);
        text = '';
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return endpoint;
  }

  record(models?: readonly LoadedModel[]): EndpointRecord {
    const { port } = this.server.address() as AddressInfo;
    return endpointRecord({ id: this.id, address: `127.0.0.1:${port}`, models });
  }

  close(): void {
    this.server.close();
  }
}

export const head = (status: number, extra = '') =>
  `HTTP/1.1 ${status} X\r\nSeal: from-endpoint\r\n${extra}`;

/** A complete answer with a length. */
export const whole = (status: number, body: string, extra = '') =>
  `${head(status, extra)}Content-Length: ${body.length}\r\n\r\n${body}`;

/** A chunk of a chunked answer. */
export const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

export const streamHead = head(
  200,
  'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
);

export const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** What a client received. */
export interface ClientResponse {
  readonly status: number;
  readonly body: string;
  /** Whether the answer was received to its end. */
  readonly complete: boolean;
  readonly retryAfter: string | undefined;
  readonly elapsedMs: number;
}

const route = (name: string, kind: RequestKind, overrides: Partial<Route> = {}): Route => ({
  name,
  host: 'a.example',
  prefix: `/${name}/`,
  kind,
  resumable: false,
  timeoutMs: 2_000,
  firstByteTargetMs: 500,
  pauseMs: 300,
  clientTimeoutMs: undefined,
  priority: 0,
  maxAttempts: 2,
  targets: [{ service: 's', weight: 1 }],
  ...overrides,
});

const configuration: Configuration = {
  version: 1,
  routes: [
    route('safe', RequestKind.safe),
    route('unsafe', RequestKind.unsafe),
    route('once', RequestKind.stream),
    route('resumable', RequestKind.stream, { resumable: true }),
    route('public', RequestKind.safe, { isPublic: true }),
    route('patient', RequestKind.safe, { timeoutMs: 60_000, firstByteTargetMs: 60_000 }),
    route('short', RequestKind.unsafe, { timeoutMs: 200 }),
  ],
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 100, headerTimeoutMs: 1, idleTimeoutMs: 60_000 },
};

/** Length of the planned stop, in ms. */
export const stopMs = 20_000;

/** A forwarder behind a server on loopback. */
export class ForwardHarness {
  readonly directory = EndpointDirectory.create();

  readonly closing = new AbortController();

  readonly answerTimes = AnswerTimes.create();

  /** A planned stop of 20 s, once it has begun. */
  readonly stop = PlannedStop.create(
    { keepIdleMs: stopMs, acceptMs: stopMs, finishMs: stopMs },
    this.answerTimes,
  );

  /** Ids of the endpoints that announced their shutdown. */
  readonly leaving: string[] = [];

  /** Endpoints that have ended, what was reported of them, and how often one was asked. */
  readonly ended = new Set<string>();

  readonly crashReports: CrashReport[] = [];

  probes = 0;

  /** Streams that endpoints have begun, and the software versions of those of other processes. */
  readonly begunStreams: BegunStream[] = [];

  readonly streamVersions = new Map<string, string>();

  /** Software versions at which no stream may begin yet. */
  readonly settling = new Set<string>();

  /** The configuration's services, by name. */
  services: Configuration['services'] = new Map();

  /** Replaces the configuration's customers. */
  customers: CustomerTable | undefined;

  /** Decides on the quotas of customers. */
  quotas: RequestQuotas['take'] = async (customer, _, tokens) =>
    ok({ customer, tokens, refund: () => {} });

  /** Whether requests wait while all endpoints are full. */
  queuesWhenFull = false;

  /** Time since the configuration was last known to be current, in ms. */
  configurationAgeMs = 0;

  readonly usage = ModelUsage.create();

  budget = RetryBudget.create({ minRetries: 10 });

  /** The controller's answer for a model that no endpoint holds. */
  wake: () => Result<number, WakeRefusal> = () => ok(0);

  /** Issues permits for endpoints that limit their requests; forwarders may share one. */
  issuer = PermitIssuer.create(defaultRateLimitSettings);

  private requestCount = 0;

  private readonly connections = new Set<Socket>();

  private served: Forwarder | undefined;

  private constructor(
    private readonly server: Server,
    private readonly endpoints: readonly RawEndpoint[],
  ) {}

  static async create(...behaviours: Behaviour[]): Promise<ForwardHarness> {
    const endpoints = await Promise.all(
      behaviours.map((behaviour, index) => RawEndpoint.create(`e${index + 1}`, behaviour)),
    );
    const server = createServer();
    const harness = new ForwardHarness(server, endpoints);
    const forwarder = harness.forwarder();
    harness.served = forwarder;
    server.on('connection', (socket) => harness.connections.add(socket));
    server.on('request', (incoming, response) => {
      forwarder.handle(incoming, response).catch(() => response.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    endpoints.forEach((endpoint) => harness.directory.put(endpoint.record()));
    return harness;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  endpoint(index: number): RawEndpoint {
    return this.endpoints[index];
  }

  private configuration(): Configuration {
    return { ...configuration, customers: this.customers, services: this.services };
  }

  /** Number of requests that arrived at each endpoint. */
  get arrivals(): number[] {
    return this.endpoints.map(({ requests }) => requests.length);
  }

  /** Sends a request; closes the connection after `leaveAfterMs` if set. */
  async call(
    path: string,
    options: { headers?: Record<string, string>; body?: string; leaveAfterMs?: number } = {},
  ): Promise<ClientResponse> {
    const startedAt = performance.now();
    this.requestCount += 1;
    const { headers, body, leaveAfterMs } = options;
    const [host, port] = this.address.split(':');
    return new Promise((resolve) => {
      const seen = (status: number, text: string, complete: boolean, retryAfter?: string) =>
        resolve({
          status,
          body: text,
          complete,
          retryAfter,
          elapsedMs: performance.now() - startedAt,
        });
      const outgoing = request({
        host,
        port,
        path,
        method: body === undefined ? 'GET' : 'POST',
        agent: false,
        headers: { host: 'a.example', id: `r${this.requestCount}`, ...headers },
      });
      outgoing.on('response', (response: IncomingMessage) => {
        let text = '';
        response.on('data', (data: Buffer) => {
          text += data.toString();
        });
        response.on('error', () => {});
        response.on('close', () =>
          seen(response.statusCode ?? 0, text, response.complete, response.headers['retry-after']),
        );
      });
      outgoing.on('error', () => seen(0, '', false));
      outgoing.end(body);
      if (leaveAfterMs !== undefined) setTimeout(() => outgoing.destroy(), leaveAfterMs);
    });
  }

  /** Ends like a process after a planned stop, or like one that is killed: its connections end in order. */
  endProcess(isKilled: boolean): void {
    if (!isKilled) this.served?.cutAll();
    this.connections.forEach((socket) => socket.end());
  }

  /** Sends a request as text and returns all that comes back, and whether the connection was reset. */
  async callRaw(text: string, onData: () => void): Promise<{ text: string; isReset: boolean }> {
    const [host, port] = this.address.split(':');
    const socket = connect({ host, port: Number(port) });
    let received = '';
    let isReset = false;
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('data', (data) => {
      received += data.toString();
      onData();
    });
    socket.write(text);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    return { text: received, isReset };
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
    this.endpoints.forEach((endpoint) => endpoint.close());
  }

  private forwarder(): Forwarder {
    const waker: ModelWaker = { wake: () => Promise.resolve(this.wake()) };
    const clock = MonotonicClock.create();
    const telemetry = NoopTelemetry.create();
    const { directory } = this;
    const onLeaving = ({ id }: EndpointRecord) => this.leaving.push(id);
    const permits = MemberPermits.create({
      clock,
      random: SeededRandom.create(1),
      settings: defaultRateLimitSettings,
      issuer: {
        ask: async (candidates, maxWaitMs) =>
          this.issuer.acquire(candidates, maxWaitMs, clock.now()),
      },
      members: () => 1,
    });
    const random = SeededRandom.create(1);
    const crashes = CrashWatch.create({
      clock,
      random,
      telemetry,
      ledger: CrashLedger.create(random),
      probe: async ({ endpoint }) => {
        this.probes += 1;
        return this.ended.has(endpoint) ? EngineState.ended : EngineState.alive;
      },
      publishCrash: (report) => this.crashReports.push(report),
      publishCleared: () => {},
      members: () => 1,
    });
    const retrySpread = RetrySpread.create(defaultForwardSettings, random);
    return Forwarder.create({
      admission: this.admissionControl(clock, retrySpread),
      streamVersions: {
        record: (stream) => this.begunStreams.push(stream),
        find: async (attempt) => this.streamVersions.get(attempt ?? ''),
        mayBegin: (_, softwareVersion) => !this.settling.has(softwareVersion),
      },
      permits,
      crashes,
      clock,
      telemetry,
      signals: EndpointSignals.create({
        clock,
        telemetry,
        protocol,
        directory,
        limits: LimitObserver.create({ clock, telemetry, limits: directory.limits }),
        onLeaving,
      }),
      settings: { ...defaultForwardSettings, loadRequestIntervalMs: 50 },
      protocol,
      directory,
      balancer: PredictiveBalancer.create(SeededRandom.create(1), () => 1),
      usage: this.usage,
      waker,
      retrySpread,
      quotas: QuotaAdmission.create({
        telemetry,
        quotas: { take: (customer, quota, cost) => this.quotas(customer, quota, cost) },
        retrySpread,
        defaultRetryAfterMs: 1_000,
      }),
      stopping: this.closing.signal,
      closing: this.closing.signal,
      stop: this.stop,
      answerTimes: this.answerTimes,
      clientMemory: {
        budget: ByteBudget.create(64_000_000),
        report: ShedReport.create(NoopTelemetry.create()),
      },
      authorizer: Authorizer.create({
        configuration: () => this.configuration(),
        ageMs: () => this.configurationAgeMs,
        changeBoundMs: 4_000,
        revocationBoundMs: 5_000,
      }),
      configuration: () => this.configuration(),
      configurationAgeMs: () => this.configurationAgeMs,
      client: ({ address }) =>
        HttpClient.create(address, address, {
          connectTimeoutMs: 300,
          highWaterBytes: 65_536,
          maxAnswerBytes: 1_000_000,
          singleUse: true,
        }),
      budget: () => this.budget,
      roundTripMs: () => 1,
    });
  }

  private admissionControl(clock: Clock, retrySpread: RetrySpread): AdmissionControl {
    const isLimited = () => this.queuesWhenFull;
    return AdmissionControl.create({
      get queuesWhenFull() {
        return isLimited();
      },
      clock,
      telemetry: NoopTelemetry.create(),
      directory: this.directory,
      rooms: EndpointRooms.create(() => 1),
      retrySpread,
      configuration: () => this.configuration(),
    });
  }
}
