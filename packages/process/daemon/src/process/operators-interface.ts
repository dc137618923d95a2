import { createHash, timingSafeEqual } from 'node:crypto';
import { decodeSignedBundle, type RolloutOutcome } from '@currantdrift/bundle';
import { describeFailure, type Telemetry } from '@currantdrift/core';
import type { Operations } from '@currantdrift/node';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { z } from 'zod';
import { readBearer } from '../request/headers';

/** Source of the process's metrics in the Prometheus text format. */
export interface MetricsPage {
  readonly contentType: string;
  text(): Promise<string>;
}

export interface OperatorsOptions {
  readonly operations: Operations;
  readonly metrics: MetricsPage;
  readonly telemetry: Telemetry;
  /** SHA-256 hash of each accepted token, in lower-case hexadecimal. */
  readonly tokenHashes: readonly string[];
}

/** Maximum size of a bundle sent by an operator, in bytes; 26,000 adapters take about 3 MB. */
const maxBundleBytes = 32_000_000;

const rolloutStatus: Readonly<Record<RolloutOutcome['kind'], 200 | 400 | 409 | 502>> = {
  done: 200,
  conflict: 409,
  refused: 400,
  unknown: 502,
};

const drainSchema = z.strictObject({ target: z.string().min(1), drained: z.boolean() });

const errorResponse = (context: Context, status: 400 | 401 | 404 | 413 | 502, message: string) =>
  context.json({ error: { message } }, status);

/** The HTTP interface for operators and the platform's health checks. */
export class OperatorsInterface {
  private constructor(private readonly options: OperatorsOptions) {}

  static create(options: OperatorsOptions): OperatorsInterface {
    return new OperatorsInterface(options);
  }

  /** Returns the routes of the operators' port. */
  routes(): Hono {
    const { operations, metrics } = this.options;
    const app = new Hono();
    app.get('/healthz', (context) => context.text('ok\n'));
    app.get('/readyz', (context) => {
      const { ready } = operations.status();
      return context.text(ready ? 'ready\n' : 'not ready\n', ready ? 200 : 503);
    });
    app.get('/metrics', async (context) => {
      context.header('Content-Type', metrics.contentType);
      return context.body(await metrics.text());
    });
    app.route('/operator/v1', this.protectedRoutes());
    app.notFound((context) => errorResponse(context, 404, `no such path: ${context.req.path}`));
    return app;
  }

  private protectedRoutes(): Hono {
    const { operations } = this.options;
    const app = new Hono();
    app.use(async (context, next) =>
      this.isKnownToken(readBearer(context.req.header('authorization')))
        ? next()
        : errorResponse(context, 401, 'the operator token is not known'),
    );
    app.get('/status', (context) => context.json(operations.status()));
    app.get('/trusted-keys', (context) => context.json(operations.trustedKeys()));
    app.get('/explain/:item', (context) => {
      const item = context.req.param('item');
      const explanation = operations.explain(item);
      return explanation === undefined
        ? errorResponse(context, 404, `the bundle has no model or adapter ${JSON.stringify(item)}`)
        : context.json(explanation);
    });
    app.post('/drain', (context) => this.drain(context));
    app.get('/bundle', (context) => {
      const current = operations.bundle();
      return current === undefined
        ? errorResponse(context, 404, 'no bundle is in force')
        : context.json({ digest: current.digest, bundle: current.bundle, ...current.signatures });
    });
    app.get('/bundle/history', async (context) => {
      const history = await operations.history();
      return history.isOk()
        ? context.json({ versions: history.value })
        : errorResponse(context, 502, describeFailure(history.error));
    });
    app.post(
      '/bundle/rollout',
      bodyLimit({
        maxSize: maxBundleBytes,
        onError: (context) =>
          errorResponse(context, 413, `the bundle has more than ${maxBundleBytes} bytes`),
      }),
      (context) => this.rollout(context),
    );
    return app;
  }

  private async drain(context: Context): Promise<Response> {
    const body = drainSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!body.success)
      return errorResponse(context, 400, 'expected {"target": text, "drained": boolean}');
    const { target, drained } = body.data;
    this.options.telemetry.log('drain', { target, drained });
    return this.options.operations.drain(target, drained)
      ? context.json({ target, drained })
      : errorResponse(context, 404, `no endpoint or host ${JSON.stringify(target)} in this domain`);
  }

  private async rollout(context: Context): Promise<Response> {
    const signed = decodeSignedBundle(new Uint8Array(await context.req.arrayBuffer()));
    if (signed.isErr()) return errorResponse(context, 400, signed.error.message);
    const { operator } = signed.value.signOff;
    const outcome = await this.options.operations.rollout(signed.value, operator);
    this.options.telemetry.log('rollout', { operator, outcome: outcome.kind });
    return context.json(outcome, rolloutStatus[outcome.kind]);
  }

  private isKnownToken(token: string | undefined): boolean {
    if (token === undefined) return false;
    const hash = createHash('sha256').update(token).digest();
    return this.options.tokenHashes.some((known) =>
      timingSafeEqual(hash, Buffer.from(known, 'hex')),
    );
  }
}
