import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EndpointReport } from '@currantdrift/core';
import { Hono } from 'hono';
import { z } from 'zod';
import { readBody } from './body';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import {
  breakConnection,
  refuse,
  type StandinApp,
  type StandinContext,
  StandinServer,
  nameRequest,
  stateRequestLimit,
} from './standin-server';

export const serviceConfigSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  name: z.string().min(1).default('service-1'),
  /** Calls that run at once; others are refused. */
  slots: z.number().int().positive().default(64),
  /** Time of one call, in ms. */
  callMs: z.number().nonnegative().default(5),
});

export const serviceFaultsSchema = z.strictObject({
  leaving: z.boolean().optional(),
  /** Calls are refused before they run. */
  refuse: z.boolean().optional(),
  /** Added to the time of each call, in ms. */
  delayMs: z.number().nonnegative().optional(),
  /** Calls per second that the service states it takes from all daemons; null for no limit. */
  requestLimitPerS: z.number().nonnegative().nullable().optional(),
  /** Number of calls whose answers are lost after they ran. */
  loseAnswers: z.number().int().nonnegative().optional(),
});

type ServiceConfig = z.infer<typeof serviceConfigSchema>;
type ServiceFaults = Required<z.infer<typeof serviceFaultsSchema>>;

/** Runs of a plain service. */
export interface ServiceStats {
  readonly reads: number;
  readonly bookings: number;
  /** Runs of bookings by idempotency key; those without a key are under the empty key. */
  readonly runsByKey: Readonly<Record<string, number>>;
  /** Runs of bookings by hexadecimal SHA-256 of the body. */
  readonly runsByBody: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Start of the latest call after the service was set leaving, in ms after that; or 0. */
  readonly latestStartAfterLeavingMs: number;
}

const add = (counts: Map<string, number>, key: string): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1);
};

/**
 * A plain service. GET calls are repeatable reads; each other call is a booking, which runs every
 * time it arrives, whatever its idempotency key.
 */
export class ServiceStandin implements Standin {
  private readonly bootId = `boot-${Date.now().toString(36)}-${process.pid}`;

  private readonly runsByKey = new Map<string, number>();

  private readonly runsByBody = new Map<string, number>();

  private reads = 0;

  private bookings = 0;

  private refused = 0;

  private running = 0;

  private sequence = 0;

  private leavingAt = 0;

  private latestStartAfterLeavingMs = 0;

  private faults: ServiceFaults = {
    leaving: false,
    refuse: false,
    delayMs: 0,
    requestLimitPerS: null,
    loseAnswers: 0,
  };

  private server: StandinServer | undefined;

  private constructor(private readonly config: ServiceConfig) {}

  /** Throws an error that names each mistake of `config`. */
  static create(config: unknown = {}): ServiceStandin {
    return new ServiceStandin(parseConfig(serviceConfigSchema, config));
  }

  async listen(): Promise<string> {
    this.server = await StandinServer.listen(this.app(), this.config.port);
    return this.server.address;
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  setFaults(faults: Partial<ServiceFaults>): void {
    if (faults.leaving === true && !this.faults.leaving) this.leavingAt = Date.now();
    this.faults = { ...this.faults, ...faults };
  }

  stats(): ServiceStats {
    return {
      reads: this.reads,
      bookings: this.bookings,
      runsByKey: Object.fromEntries(this.runsByKey),
      runsByBody: Object.fromEntries(this.runsByBody),
      refused: this.refused,
      latestStartAfterLeavingMs: this.latestStartAfterLeavingMs,
    };
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    nameRequest(app);
    stateRequestLimit(app, () => this.faults.requestLimitPerS);
    app.all('/calls/:service/:call', (context) => this.call(context));
    app.get('/control/report', (context) => context.json(this.report()));
    app.get('/stats', (context) => context.json(this.stats()));
    app.post('/faults', async (context) => {
      const body = await readBody(context, serviceFaultsSchema);
      if ('answer' in body) return body.answer;
      this.setFaults(body.value);
      return context.json(this.faults);
    });
    return app;
  }

  private async call(context: StandinContext): Promise<Response> {
    if (this.faults.refuse || this.running >= this.config.slots) {
      this.refused += 1;
      return refuse(context, 503, 'the service takes no calls now', 1000);
    }
    if (this.faults.leaving) this.latestStartAfterLeavingMs = Date.now() - this.leavingAt;
    this.running += 1;
    try {
      const body = new Uint8Array(await context.req.arrayBuffer());
      const answer = context.req.method === 'GET' ? this.read(context) : this.book(context, body);
      await sleep(this.config.callMs + this.faults.delayMs);
      return this.losesAnswer() ? breakConnection(context) : answer;
    } finally {
      this.running -= 1;
    }
  }

  private read(context: StandinContext): Response {
    this.reads += 1;
    const { service, call } = context.req.param() as { service: string; call: string };
    return context.json({ service, call, query: context.req.query() });
  }

  private book(context: StandinContext, body: Uint8Array): Response {
    this.bookings += 1;
    const key = context.req.header('idempotency-key') ?? '';
    const digest = createHash('sha256').update(body).digest('hex');
    add(this.runsByKey, key);
    add(this.runsByBody, digest);
    const { service, call } = context.req.param() as { service: string; call: string };
    return context.json({ service, call, booking: this.bookings, key, body: digest });
  }

  private losesAnswer(): boolean {
    const { loseAnswers } = this.faults;
    if (loseAnswers === 0) return false;
    this.faults = { ...this.faults, loseAnswers: loseAnswers - 1 };
    return true;
  }

  private report(): EndpointReport {
    const { requestLimitPerS } = this.faults;
    this.sequence += 1;
    return {
      endpoint: this.config.name,
      bootId: this.bootId,
      sequence: this.sequence,
      state: this.faults.leaving ? 'leaving' : 'live',
      epoch: 0,
      memoryBytes: 0,
      items: [],
      cached: [],
      running: this.running,
      waiting: 0,
      slots: this.config.slots,
      ...(requestLimitPerS !== null && { requestLimitPerS }),
    };
  }
}
