import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodeLease,
  encodeLease,
  type Entry,
  type Lease,
  maxValueBytes,
  revisionInEra,
  SystemClock,
  withoutEra,
} from '@currantdrift/core';
import { MemoryStore, type MemoryStoreCopy, StoreHandle } from '@currantdrift/fakes';
import { Hono } from 'hono';
import { z } from 'zod';
import { readBody } from './body';
import { RateLimit } from './rate-limit';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import {
  breakConnection,
  refuse,
  type StandinApp,
  type StandinContext,
  StandinServer,
} from './standin-server';

export const storeConfigSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  writesPerSecond: z.number().positive().default(500),
  readsPerSecond: z.number().positive().default(2000),
});

export const storeFaultsSchema = z.strictObject({
  /** `refuse` answers 503; `hang` does not answer until the fault is switched off. */
  outage: z.enum(['none', 'refuse', 'hang']).optional(),
  /** Time that each call takes, in ms; half before its effect, half after. */
  latencyMs: z.number().nonnegative().optional(),
  /** Number of writes whose answers are lost after they took effect. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Only writes of keys with this prefix lose their answers; writes of leases have no key. */
  loseKeyPrefix: z.string().optional(),
});

export type StoreConfig = z.infer<typeof storeConfigSchema>;
export type StoreFaults = Required<z.infer<typeof storeFaultsSchema>>;

const noFaults: StoreFaults = { outage: 'none', latencyMs: 0, loseAnswers: 0, loseKeyPrefix: '' };

/** Longest wait of a watch, in ms. */
const maxWaitMs = 300_000;

const systemClock = SystemClock.create();

const number = z.coerce.number().int().nonnegative();

/** The platform's key-value service in memory. */
export class StoreStandin implements Standin {
  private readonly state = MemoryStore.create(systemClock);

  private readonly watches = StoreHandle.create(this.state, systemClock);

  private readonly calls = new Map<string, number>();

  private readonly reads: RateLimit;

  private readonly writes: RateLimit;

  private faults = noFaults;

  private readonly hanging = new Set<() => void>();

  private copied: MemoryStoreCopy | undefined;

  private server: StandinServer | undefined;

  private expiry: NodeJS.Timeout | undefined;

  private constructor(private readonly config: StoreConfig) {
    this.reads = RateLimit.create(config.readsPerSecond, Date.now());
    this.writes = RateLimit.create(config.writesPerSecond, Date.now());
  }

  /** Throws an error that names each mistake of `config`. */
  static create(config: unknown = {}): StoreStandin {
    return new StoreStandin(parseConfig(storeConfigSchema, config));
  }

  async listen(): Promise<string> {
    this.server = await StandinServer.listen(this.app(), this.config.port);
    this.expiry = setInterval(() => this.state.expireLeases(), 50);
    return this.server.address;
  }

  /** `ip:port` on which it listens. */
  get address(): string {
    return this.server?.address ?? '';
  }

  async close(): Promise<void> {
    clearInterval(this.expiry);
    this.setFaults({ outage: 'none' });
    await this.server?.close();
  }

  setFaults(faults: Partial<StoreFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (this.faults.outage === 'hang') return;
    this.hanging.forEach((resume) => resume());
    this.hanging.clear();
  }

  /** Copies the contents, so that the store can come back from the copy. */
  copy(): void {
    this.copied = this.state.copy();
  }

  /** Comes back from the last copy: what was written since is gone. */
  restore(): void {
    if (this.copied !== undefined) this.state.restore(this.copied);
  }

  /** Calls by kind since the start, refused ones included. */
  stats(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.calls);
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    app.get('/v1/entry', (context) => this.perform(context, 'get', () => this.get(context)));
    app.get('/v1/entries', (context) => this.perform(context, 'list', () => this.list(context)));
    app.get('/v1/watch', (context) => this.perform(context, 'watch', () => this.watch(context)));
    app.on(['PUT', 'DELETE'], '/v1/entry', (context) =>
      this.perform(context, 'compareAndSwap', () => this.swap(context)),
    );
    app.post('/v1/leases', (context) =>
      this.perform(context, 'grantLease', () => this.grant(context)),
    );
    app.post('/v1/leases/:id/renew', (context) =>
      this.perform(context, 'renewLease', () => this.renew(context)),
    );
    app.delete('/v1/leases/:id', (context) =>
      this.perform(context, 'revokeLease', () => {
        this.state.revoke(this.leaseInEra(context.req.param('id')));
        return context.json({});
      }),
    );
    app.post('/copy', (context) => {
      this.copy();
      return context.json({});
    });
    app.post('/restore', (context) => {
      if (this.copied === undefined) return refuse(context, 409, 'the store has not been copied');
      this.restore();
      return context.json({ era: this.state.era });
    });
    app.get('/stats', (context) => context.json({ calls: this.stats() }));
    app.post('/faults', async (context) => {
      const body = await readBody(context, storeFaultsSchema);
      if ('answer' in body) return body.answer;
      this.setFaults(body.value);
      return context.json(this.faults);
    });
    return app;
  }

  private async perform(
    context: StandinContext,
    call: string,
    effect: () => Response | Promise<Response>,
  ): Promise<Response> {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
    const isRead = ['get', 'list', 'watch'].includes(call);
    if (this.faults.latencyMs > 0) await sleep(this.faults.latencyMs / 2);
    if (this.faults.outage !== 'none') return this.withhold(context);
    const waitMs = (isRead ? this.reads : this.writes).take(Date.now());
    if (waitMs > 0) return refuse(context, 429, `too many ${isRead ? 'reads' : 'writes'}`, waitMs);
    const answer = await effect();
    answer.headers.set('x-era', String(this.state.era));
    // A watch may have waited into an outage.
    if (call === 'watch' && this.faults.outage !== 'none') return this.withhold(context);
    if (this.faults.latencyMs > 0) await sleep(this.faults.latencyMs / 2);
    return !isRead && answer.ok && this.losesAnswer(context) ? breakConnection(context) : answer;
  }

  /** Answers, or does not answer, as the outage demands. */
  private async withhold(context: StandinContext): Promise<Response> {
    if (this.faults.outage === 'refuse') return refuse(context, 503, 'the store is down', 1000);
    await new Promise<void>((resume) => {
      this.hanging.add(resume);
    });
    return breakConnection(context);
  }

  private losesAnswer(context: StandinContext): boolean {
    const { loseAnswers, loseKeyPrefix } = this.faults;
    const key = context.req.query('key') ?? '';
    if (loseAnswers === 0 || !key.startsWith(loseKeyPrefix)) return false;
    this.faults = { ...this.faults, loseAnswers: loseAnswers - 1 };
    return true;
  }

  private get(context: StandinContext): Response {
    const key = context.req.query('key');
    if (!key) return refuse(context, 400, 'key is missing');
    return this.entry(context, this.state.read(key), 200);
  }

  private list(context: StandinContext): Response {
    const entries = this.state
      .keys(context.req.query('prefix') ?? '')
      .map((one) => ({ ...one, revision: withoutEra(one.revision) }));
    return context.json({ entries });
  }

  private async watch(context: StandinContext): Promise<Response> {
    const key = context.req.query('key');
    const revision = number.safeParse(context.req.query('revision'));
    const waitMs = number.max(maxWaitMs).safeParse(context.req.query('waitMs'));
    if (!key || !revision.success || !waitMs.success) {
      return refuse(context, 400, `key, revision or waitMs (at most ${maxWaitMs}) is missing`);
    }
    const { signal } = context.req.raw;
    const known = this.revisionInEra(revision.data);
    const entry = await this.watches.watch(key, known, waitMs.data, signal);
    if (entry.isErr()) return refuse(context, 503, entry.error.message, 1000);
    return this.entry(context, entry.value, 200);
  }

  private async swap(context: StandinContext): Promise<Response> {
    const key = context.req.query('key');
    const revision = number.safeParse(context.req.query('revision'));
    if (!key || !revision.success) return refuse(context, 400, 'key or revision is missing');
    const granted = context.req.query('lease');
    const lease = granted === undefined ? undefined : this.leaseInEra(granted);
    const body = new Uint8Array(await context.req.arrayBuffer());
    if (body.length > maxValueBytes) {
      return refuse(context, 413, `the value is above ${maxValueBytes} bytes`);
    }
    if (lease !== undefined && !this.state.hasLease(lease)) {
      return refuse(context, 410, 'the lease has ended');
    }
    const value = context.req.method === 'DELETE' ? undefined : body;
    const swap = this.state.swap(key, this.revisionInEra(revision.data), value, lease);
    if (swap.kind === 'conflict') return this.entry(context, swap.current, 412);
    return context.json({ revision: withoutEra(swap.revision) });
  }

  private async grant(context: StandinContext): Promise<Response> {
    const body = await readBody(context, z.object({ ttlMs: z.number().positive() }));
    if ('answer' in body) return body.answer;
    return this.lease(context, this.state.grant(body.value.ttlMs));
  }

  private renew(context: StandinContext): Response {
    const lease = this.state.renew(this.leaseInEra(context.req.param('id') ?? ''));
    return lease === undefined
      ? refuse(context, 410, 'the lease has ended')
      : this.lease(context, lease);
  }

  private lease(context: StandinContext, { id, ttlMs }: Lease): Response {
    return context.json({ id: decodeLease(id).id, ttlMs });
  }

  private leaseInEra(id: string): string {
    return encodeLease({ era: this.state.era, id });
  }

  private revisionInEra(revision: number): number {
    return revisionInEra(this.state.era, revision);
  }

  private entry(context: StandinContext, entry: Entry | undefined, status: 200 | 412): Response {
    context.header('x-revision', String(withoutEra(entry?.revision ?? 0)));
    context.header('content-type', 'application/octet-stream');
    if (entry === undefined) return context.body(null, status);
    return context.body(new Uint8Array(entry.value), status);
  }
}
