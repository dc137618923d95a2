import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@currantdrift/core';
import { Hono } from 'hono';
import { z } from 'zod';
import { readBody } from './body';
import { RateLimit } from './rate-limit';
import { SharedMedium } from './shared-medium';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import { refuse, type StandinApp, StandinServer } from './standin-server';

export const weightsConfigSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  /** Loads that start per second; others wait. */
  loadsPerSecond: z.number().positive().default(4),
  /** Loads in transit at full speed. */
  loadsAtFullSpeed: z.number().int().positive().default(4),
  /** Speed of one load at full speed. */
  bytesPerSecond: z.number().positive().default(2_000_000_000),
  /** Adapter fetches in transit at full speed. */
  adaptersAtFullSpeed: z.number().int().positive().default(30),
  /** Bounds of the time of one adapter fetch at full speed, in ms. */
  adapterMs: z.tuple([z.number().positive(), z.number().positive()]).default([5, 20]),
  seed: z.number().int().default(1),
});

export const weightsFaultsSchema = z.strictObject({
  /** Loads and fetches take this many times as long. */
  slowdown: z.number().min(1).optional(),
  outage: z.enum(['none', 'refuse']).optional(),
});

const fetchSchema = z.strictObject({
  item: z.string().min(1),
  bytes: z.number().nonnegative(),
});

type WeightsConfig = z.infer<typeof weightsConfigSchema>;

/** The weight store: loads of models and fetches of adapters, without contents. */
export class WeightsStandin implements Standin {
  private readonly starts: RateLimit;

  private readonly loads: SharedMedium;

  private readonly adapters: SharedMedium;

  private readonly random: SeededRandom;

  private outage: 'none' | 'refuse' = 'none';

  private readonly counts = { loads: 0, adapters: 0, maxLoads: 0, maxAdapters: 0, bytes: 0 };

  /** Tail of the queue of loads that wait for the rate limit. */
  private queue: Promise<void> = Promise.resolve();

  private server: StandinServer | undefined;

  private constructor(private readonly config: WeightsConfig) {
    const { loadsPerSecond } = config;
    this.starts = RateLimit.create(loadsPerSecond, Date.now(), Math.max(1, loadsPerSecond));
    this.loads = SharedMedium.create(config.loadsAtFullSpeed);
    this.adapters = SharedMedium.create(config.adaptersAtFullSpeed);
    this.random = SeededRandom.create(config.seed);
  }

  /** Throws an error that names each mistake of `config`. */
  static create(config: unknown = {}): WeightsStandin {
    return new WeightsStandin(parseConfig(weightsConfigSchema, config));
  }

  async listen(): Promise<string> {
    this.server = await StandinServer.listen(this.app(), this.config.port);
    return this.server.address;
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  setFaults(faults: z.infer<typeof weightsFaultsSchema>): void {
    this.outage = faults.outage ?? this.outage;
    if (faults.slowdown === undefined) return;
    this.loads.setSlowdown(faults.slowdown);
    this.adapters.setSlowdown(faults.slowdown);
  }

  /** Finished loads and fetches, their bytes, and the most that were in transit at once. */
  stats(): Readonly<typeof this.counts> {
    return { ...this.counts };
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    app.use('/fetches/*', async (context, next) =>
      this.outage === 'refuse' ? refuse(context, 503, 'the weight store is down', 1000) : next(),
    );
    app.post('/fetches/models', async (context) => {
      const body = await readBody(context, fetchSchema);
      if ('answer' in body) return body.answer;
      await this.load(body.value.bytes, context.req.raw.signal);
      return context.json({});
    });
    app.post('/fetches/adapters', async (context) => {
      const body = await readBody(context, fetchSchema);
      if ('answer' in body) return body.answer;
      await this.fetchAdapter(body.value.bytes, context.req.raw.signal);
      return context.json({});
    });
    app.get('/stats', (context) => context.json(this.stats()));
    app.post('/faults', async (context) => {
      const body = await readBody(context, weightsFaultsSchema);
      if ('answer' in body) return body.answer;
      this.setFaults(body.value);
      return context.json(body.value);
    });
    return app;
  }

  private async load(bytes: number, signal: AbortSignal): Promise<void> {
    const turn = this.queue.then(() => this.start(signal));
    this.queue = turn;
    await turn;
    const { counts, loads } = this;
    const transfer = loads.transfer((bytes * 1000) / this.config.bytesPerSecond, signal);
    counts.maxLoads = Math.max(counts.maxLoads, loads.inTransit);
    if ((await transfer) === 'aborted') return;
    counts.loads += 1;
    counts.bytes += bytes;
  }

  /** Waits for the rate limit; a load that was given up takes no turn. */
  private async start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.starts.take(Date.now());
      if (waitMs === 0) return;
      await sleep(waitMs);
    }
  }

  private async fetchAdapter(bytes: number, signal: AbortSignal): Promise<void> {
    const { counts, adapters, config } = this;
    const [least, most] = config.adapterMs;
    const transfer = adapters.transfer(least + this.random.next() * (most - least), signal);
    counts.maxAdapters = Math.max(counts.maxAdapters, adapters.inTransit);
    if ((await transfer) === 'aborted') return;
    counts.adapters += 1;
    counts.bytes += bytes;
  }
}
