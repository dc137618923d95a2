import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Caller, Clock, Telemetry } from '@currantdrift/core';
import { beginUnmarked, ClientBytes, type ClientMemory } from '@currantdrift/http';
import type { RequestEntry, ServiceAnswer, ServiceRequest } from '@currantdrift/node';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { type Context, Hono } from 'hono';
import { ok, type Result } from 'neverthrow';
import { type BodyLimits, readBody } from './body';
import { collectAnswer, completionBody, writeAnswer } from './chat-answer';
import { readChatBody } from './chat-body';
import { type DeadlineLimits, readBearer, readDeadline, readPriority } from './headers';
import { badRequest, type Problem, problemBody, problemHeaders, problemOf } from './problem';

/** The Node.js request and response underlying a Hono context. */
interface Bindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

interface Variables {
  requestId: string;
  caller: Caller;
}

type CallerContext = Context<{ Bindings: Bindings; Variables: Variables }>;

export interface CallersOptions {
  readonly entry: RequestEntry;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly body: BodyLimits;
  readonly deadlines: DeadlineLimits;
  /** Memory for requests and responses of all callers. */
  readonly memory: ClientMemory;
  /** Aborted once this daemon takes no more requests. */
  readonly closing: AbortSignal;
}

/** Interval between counts of the response bytes that a caller has not read, in ms. */
const unreadCheckMs = 250;

const requestIdPattern = /^[\w.-]{1,64}$/;

/** Returns the request id sent by the caller if it is well-formed, else a new one. */
const requestIdOf = (header: string | undefined): string =>
  header !== undefined && requestIdPattern.test(header) ? header : randomUUID();

/**
 * Returns a signal that aborts if the caller closes its connection before the response is complete.
 */
const callerSignal = (outgoing: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return controller.signal;
};

/** The HTTP interface for callers. */
export class CallersInterface {
  private constructor(private readonly options: CallersOptions) {}

  static create(options: CallersOptions): CallersInterface {
    return new CallersInterface(options);
  }

  /** Returns the routes of the callers' port. */
  routes(): Hono<{ Bindings: Bindings; Variables: Variables }> {
    const app = new Hono<{ Bindings: Bindings; Variables: Variables }>();
    app.use(async (context, next) => {
      const requestId = requestIdOf(context.req.header('x-request-id'));
      context.set('requestId', requestId);
      context.header('X-Request-Id', requestId);
      const caller = this.options.entry.authenticate(
        readBearer(context.req.header('authorization')) ?? '',
      );
      if (caller === undefined) {
        return this.refuse(context, badRequest(401, 'unknown_key', 'the API key is not known'));
      }
      context.set('caller', caller);
      return next();
    });
    app.post('/v1/chat/completions', (context) => this.chat(context));
    app.get('/v1/models', (context) => this.models(context));
    app.all('/v1/services/:service/:call', (context) => this.service(context));
    app.onError((error, context) => {
      this.options.telemetry.log('request failed', {
        requestId: context.get('requestId'),
        message: error.stack ?? error.message,
      });
      return this.refuse(context, {
        status: 500,
        code: 'internal_error',
        message: 'the daemon failed; the request may have run',
        outcome: 'unknown',
      });
    });
    app.notFound((context) =>
      this.refuse(context, badRequest(404, 'unknown_path', `no such path: ${context.req.path}`)),
    );
    return app;
  }

  private models(context: CallerContext): Response {
    const items = this.options.entry.items(context.get('caller'));
    const data = items.map((id) => ({ id, object: 'model', owned_by: 'currantdrift' }));
    return context.json({ object: 'list', data });
  }

  private async chat(context: CallerContext): Promise<Response> {
    const { entry, clock } = this.options;
    const { outgoing } = context.env;
    const received = clock.now();
    const limits = this.limits(context);
    if (limits.isErr()) return this.refuse(context, limits.error);
    const read = await this.readBody(context);
    const body = read.andThen(readChatBody);
    if (body.isErr()) return this.refuse(context, body.error);
    const { model, stream, ...rest } = body.value;
    const requestId = context.get('requestId');
    const parts = entry.chat(
      { requestId, caller: context.get('caller'), item: model, ...limits.value, ...rest },
      callerSignal(outgoing),
    );
    const head = { requestId, model, created: Math.floor(received / 1000) };
    if (!stream) {
      const answer = await collectAnswer(parts);
      if (answer.isErr()) return this.refuse(context, problemOf(answer.error));
      return context.json(completionBody(head, answer.value));
    }
    outgoing.setHeader('X-Request-Id', requestId);
    const written = await writeAnswer(outgoing, head, parts);
    if (written.isErr()) return this.refuse(context, problemOf(written.error));
    return RESPONSE_ALREADY_SENT;
  }

  private async service(context: CallerContext): Promise<Response> {
    const { entry } = this.options;
    const limits = this.limits(context);
    if (limits.isErr()) return this.refuse(context, limits.error);
    const body = await this.readBody(context);
    if (body.isErr()) return this.refuse(context, body.error);
    const { service, call } = context.req.param() as { service: string; call: string };
    const idempotencyKey = context.req.header('idempotency-key');
    const request: ServiceRequest = {
      requestId: context.get('requestId'),
      caller: context.get('caller'),
      service,
      call,
      method: context.req.method,
      query: new URL(context.req.url).search.slice(1),
      contentType: context.req.header('content-type') ?? 'application/octet-stream',
      body: body.value,
      ...limits.value,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    };
    const answer = await entry.call(request, callerSignal(context.env.outgoing));
    if (answer.isErr()) return this.refuse(context, problemOf(answer.error));
    return CallersInterface.answerCall(context, answer.value);
  }

  private static answerCall(context: CallerContext, answer: ServiceAnswer): Response {
    const { status, contentType, body, replayed, endsWithConnection = false } = answer;
    const headers = {
      'content-type': contentType,
      ...(replayed && { 'idempotent-replayed': 'true' }),
    };
    if (!endsWithConnection) return context.body(Buffer.from(body), status as 200, headers);
    const { outgoing } = context.env;
    beginUnmarked(outgoing, status, { 'x-request-id': context.get('requestId'), ...headers });
    outgoing.end(body);
    return RESPONSE_ALREADY_SENT;
  }

  /** Reads the body; a request that is not read to its end closes its connection. */
  private async readBody(context: CallerContext): Promise<Result<Uint8Array, Problem>> {
    const { body, clock, closing, memory } = this.options;
    const { incoming, outgoing } = context.env;
    const bytes = ClientBytes.create(incoming, outgoing, memory, () => outgoing.destroy());
    const unread = setInterval(() => bytes.countUnread(), unreadCheckMs);
    outgoing.once('close', () => clearInterval(unread));
    const read = await readBody(bytes, body, clock, closing);
    if (read.isErr()) context.header('Connection', 'close');
    return read;
  }

  /** Reads the deadline, priority and trace context from a request's headers. */
  private limits(
    context: CallerContext,
  ): Result<{ deadline: number; priority: number; traceparent?: string }, Problem> {
    const { clock, deadlines } = this.options;
    const traceparent = context.req.header('traceparent');
    return readDeadline(
      context.req.header('x-request-deadline-ms'),
      deadlines,
      clock.now(),
    ).andThen((deadline) =>
      readPriority(context.req.header('x-request-priority'), context.get('caller')).andThen(
        (priority) =>
          ok({ deadline, priority, ...(traceparent === undefined ? {} : { traceparent }) }),
      ),
    );
  }

  private refuse(context: CallerContext, problem: Problem): Response {
    const { telemetry } = this.options;
    const requestId = context.get('requestId');
    telemetry.count('currantdrift_refusals_total', { code: problem.code });
    telemetry.log('request refused', { requestId, code: problem.code, outcome: problem.outcome });
    const headers = problemHeaders(problem);
    return context.json(problemBody(problem, requestId), problem.status as 400, headers);
  }
}
