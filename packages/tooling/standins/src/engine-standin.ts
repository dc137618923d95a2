import { Hono } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { answerShape } from './answer-text';
import { readBody } from './body';
import { CheckpointLoader } from './checkpoint-loader';
import {
  cancelSchema,
  type EngineConfig,
  engineConfigSchema,
  type EngineFaults,
  engineFaultsSchema,
  type EngineGeneration,
  generationSchema,
  noEngineFaults,
  orderSchema,
} from './engine-config';
import { EngineBoot } from './engine-boot';
import { emptyRecord } from './engine-memory';
import { prefixOf } from './prefix-cache';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import {
  breakConnection,
  refuse,
  type StandinApp,
  type StandinContext,
  StandinServer,
  stateRequestLimit,
} from './standin-server';
import { TokenWriter } from './token-writer';

/** One attempt that got a slot. */
export interface Run {
  readonly attempt: number;
  readonly item: string;
  /** Offsets of the first token and after the last one. */
  readonly from: number;
  readonly to: number;
  /** `broken` by a fault or the engine's death, `cancelled` by order or a closed connection. */
  readonly outcome: 'running' | 'ended' | 'broken' | 'cancelled';
}

export interface EngineStats {
  readonly bootId: string;
  readonly boots: number;
  readonly role: string;
  /** Runs by request id. */
  readonly runs: Readonly<Record<string, readonly Run[]>>;
  readonly runCount: number;
  readonly tokenCount: number;
  readonly peakBytes: number;
  readonly overcommits: readonly { item: string; bytes: number; usedBytes: number; at: number }[];
  readonly loads: Readonly<Record<string, number>>;
  readonly unloads: Readonly<Record<string, number>>;
  /** Time that items were ready, in ms, with and without running requests. */
  readonly busyMs: number;
  readonly idleMs: number;
  readonly refusedGenerations: number;
  /** Start of the latest run after the engine was set leaving, in ms after that; or 0. */
  readonly latestStartAfterLeavingMs: number;
}

export interface EngineOptions {
  /** A fault that kills the engine kills the process; otherwise the engine starts anew at once. */
  readonly isProcess?: boolean;
}

/** A model engine that generates answers derived from item and prompt. */
export class EngineStandin implements Standin {
  private readonly record = emptyRecord();

  private readonly loader: CheckpointLoader;

  private readonly runs = new Map<string, Run[]>();

  private boots = 0;

  private runCount = 0;

  private tokenCount = 0;

  private refusedGenerations = 0;

  private leavingAt = 0;

  private latestStartAfterLeavingMs = 0;

  private faults = noEngineFaults;

  private boot: EngineBoot;

  private server: StandinServer | undefined;

  private constructor(
    private readonly config: EngineConfig,
    private readonly options: EngineOptions,
  ) {
    this.loader = CheckpointLoader.create(config);
    this.boot = this.start();
    config.items.forEach(({ item, bytes }) =>
      this.boot.memory.add(item, bytes, 'ready', Date.now()),
    );
  }

  /** Throws an error that names each mistake of `config`. */
  static create(config: unknown = {}, options: EngineOptions = {}): EngineStandin {
    return new EngineStandin(parseConfig(engineConfigSchema, config), options);
  }

  async listen(): Promise<string> {
    this.server = await StandinServer.listen(this.app(), this.config.port);
    return this.server.address;
  }

  async close(): Promise<void> {
    this.boot.stop();
    await this.loader.close();
    await this.server?.close();
  }

  setFaults(faults: Partial<EngineFaults>): void {
    if (faults.leaving === true && !this.faults.leaving) this.leavingAt = Date.now();
    this.faults = { ...this.faults, ...faults };
    if (faults.stallStreams !== undefined && faults.stallStreams !== 'none') {
      this.boot.batch.silence();
    }
  }

  stats(): EngineStats {
    this.boot.memory.account(Date.now());
    const { peakBytes, overcommits, loads, unloads, busyMs, idleMs } = this.record;
    return {
      bootId: this.boot.id,
      boots: this.boots,
      role: this.boot.role,
      runs: Object.fromEntries(this.runs),
      runCount: this.runCount,
      tokenCount: this.tokenCount,
      peakBytes,
      overcommits: [...overcommits],
      loads: Object.fromEntries(loads),
      unloads: Object.fromEntries(unloads),
      busyMs,
      idleMs,
      refusedGenerations: this.refusedGenerations,
      latestStartAfterLeavingMs: this.latestStartAfterLeavingMs,
    };
  }

  /** Dies as a killed process does. */
  die(): void {
    if (this.options.isProcess) process.kill(process.pid, 'SIGKILL');
    this.boot.stop();
    this.faults = { ...this.faults, dieInLoad: false };
    this.boot = this.start();
    this.server?.breakConnections();
  }

  private start(): EngineBoot {
    this.boots += 1;
    const id = `${this.config.name}-${process.pid}-${Date.now().toString(36)}-${this.boots}`;
    return EngineBoot.create(
      id,
      this.config,
      this.record,
      this.loader,
      () => this.faults,
      () => this.die(),
    );
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    stateRequestLimit(app, () => this.faults.requestLimitPerS);
    app.post('/v1/completions', (context) => this.generate(context));
    app.post('/control/orders', (context) => this.order(context));
    app.get('/control/report', (context) => context.json(this.boot.report(Date.now())));
    app.get('/control/cache-events', (context) => {
      const after = Number(context.req.query('after') ?? 0);
      return context.json({ events: this.boot.prefixes.shown(after, Date.now()) });
    });
    app.post('/control/cancel', async (context) => {
      const body = await readBody(context, cancelSchema);
      if ('answer' in body) return body.answer;
      this.boot.batch.cancel(body.value.requestId, body.value.attempt);
      return context.json({});
    });
    app.get('/stats', (context) => context.json(this.stats()));
    app.post('/faults', async (context) => {
      const body = await readBody(context, engineFaultsSchema);
      if ('answer' in body) return body.answer;
      this.setFaults(body.value);
      return context.json(this.faults);
    });
    return app;
  }

  private async order(context: StandinContext): Promise<Response> {
    const body = await readBody(context, orderSchema);
    if ('answer' in body) return body.answer;
    if (this.faults.refuseOrders) return refuse(context, 503, 'the engine takes no orders', 1000);
    const result = await this.boot.order(body.value);
    if (this.faults.loseOrderAnswers > 0) {
      this.faults = { ...this.faults, loseOrderAnswers: this.faults.loseOrderAnswers - 1 };
      return breakConnection(context);
    }
    return result.kind === 'done'
      ? context.json({})
      : refuse(context, 409, result.message, result.retryAfterMs);
  }

  private async generate(context: StandinContext): Promise<Response> {
    const body = await readBody(context, generationSchema);
    if ('answer' in body) return body.answer;
    const refusal = this.refuseGeneration(context, body.value);
    if (refusal !== undefined) {
      this.refusedGenerations += 1;
      return refusal;
    }
    this.run(context, body.value);
    return RESPONSE_ALREADY_SENT;
  }

  private refuseGeneration(
    context: StandinContext,
    generation: EngineGeneration,
  ): Response | undefined {
    const { requestId, attempt, item } = generation;
    const { batch, memory } = this.boot;
    if (this.faults.refuseGenerations) return refuse(context, 503, 'the engine refuses', 1000);
    if (memory.state(item) !== 'ready') {
      return refuse(context, 409, `${item} is ${memory.state(item) ?? 'not loaded'}`);
    }
    if (batch.has(requestId, attempt)) return refuse(context, 409, 'the attempt is running');
    return batch.isFull ? refuse(context, 429, 'the queue is full', 1000) : undefined;
  }

  private run(context: StandinContext, generation: EngineGeneration): void {
    const { outgoing } = context.env;
    const { batch } = this.boot;
    const shape = answerShape(generation, this.config.answerTokens);
    const writer = TokenWriter.create(generation, shape, outgoing);
    if (this.faults.stallStreams === 'all') writer.silence();
    outgoing.once('close', () => batch.remove(writer));
    const { memory, prefixes } = this.boot;
    batch.add({
      writer,
      onStart: (now) => {
        memory.addRunning(generation.item, 1, now);
        this.startRun(generation, now);
        const wasCached = prefixes.use(generation.item, prefixOf(generation.messages), now);
        return wasCached ? 0 : this.config.prefillMs;
      },
      onFinish: (outcome, now) => {
        memory.addRunning(generation.item, -1, now);
        this.finishRun(generation, writer.offset, outcome);
      },
    });
  }

  private startRun({ requestId, attempt, item, resume }: EngineGeneration, now: number): void {
    this.runCount += 1;
    if (this.faults.leaving) this.latestStartAfterLeavingMs = now - this.leavingAt;
    if (!this.config.recordRuns) return;
    const from = resume.length;
    const run: Run = { attempt, item, from, to: from, outcome: 'running' };
    this.runs.set(requestId, [...(this.runs.get(requestId) ?? []), run]);
  }

  private finishRun(
    { requestId, attempt, resume }: EngineGeneration,
    to: number,
    outcome: Run['outcome'],
  ): void {
    this.tokenCount += to - resume.length;
    const runs = this.runs.get(requestId);
    if (runs === undefined) return;
    const isThis = (run: Run) => run.attempt === attempt && run.outcome === 'running';
    this.runs.set(
      requestId,
      runs.map((run) => (isThis(run) ? { ...run, to, outcome } : run)),
    );
  }
}
