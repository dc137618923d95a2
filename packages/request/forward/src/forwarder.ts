import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BodyRead } from '@currantdrift/http';
import type { ClientLimits, Configuration } from '@currantdrift/routes';
import { knowsModel, RouteTable, selectService } from '@currantdrift/routes';
import type { Result } from 'neverthrow';
import { tooLargeReason, tooLargeRetryAfterMs } from './admission-control';
import { ClientExchange } from './client-exchange';
import { type ClientRequest, deadlineOf, digestOf, expectedWork } from './client-request';
import type { InvalidField, RequestFields } from './endpoint-protocol';
import type { ForwardContext } from './forward-context';
import { type ForwardResult, ForwardRun } from './forward-run';
import { logText } from './log-text';
import { RequestTimes } from './request-times';

const httpStatus = { invalid: 400, timeout: 408, tooLarge: 413, unavailable: 503 } as const;

const memoryReason = 'the memory for requests is exhausted';

const shutdownReason = 'this process is shutting down';

/** Whether the prompt is larger than what any engine of the service can hold. */
const exceedsEngines = (
  { services }: Configuration,
  service: string,
  { model, promptTokens }: RequestFields,
): boolean => {
  const engines = services.get(service)?.engines;
  return model !== undefined && engines !== undefined && promptTokens > engines.cacheTokens;
};

const namesKnownModel = (
  configuration: Configuration,
  service: string,
  { model, adapter }: RequestFields,
): boolean => model === undefined || knowsModel(configuration, service, model, adapter);

/** Handles clients' requests: validates each, reads its body and forwards it to an endpoint. */
export class Forwarder {
  private table: RouteTable | undefined;

  private tableConfiguration: Configuration | undefined;

  private openCount = 0;

  /** Requests whose response has not been sent to its end. */
  private readonly unsent = new Set<ClientExchange>();

  private constructor(private readonly context: ForwardContext) {}

  static create(context: ForwardContext): Forwarder {
    return new Forwarder(context);
  }

  /** Number of requests that have arrived and are not finished. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Marks all responses that have not been sent to their end as incomplete, before the process ends. */
  cutAll(): void {
    this.unsent.forEach((client) => client.cut());
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.context.clock.now();
    const client = ClientExchange.create(request, response, this.context.clientMemory);
    this.openCount += 1;
    this.unsent.add(client);
    client.onClose(() => this.unsent.delete(client));
    const isAdmitted = client.admit();
    const fields = this.context.protocol.requestFields(request.headers);
    const times = RequestTimes.create(arrivedAt);
    const result = isAdmitted
      ? await this.serve(client, fields, arrivedAt, times)
      : this.endWithoutBody(client, 'shed');
    this.openCount -= 1;
    this.report(client, fields.unwrapOr(undefined), result, arrivedAt, times);
  }

  private async serve(
    client: ClientExchange,
    decoded: Result<RequestFields, InvalidField>,
    arrivedAt: number,
    times: RequestTimes,
  ): Promise<ForwardResult> {
    const configuration = this.context.configuration();
    if (configuration === undefined) {
      const retryAfterMs = this.context.settings.defaultRetryAfterMs;
      return this.refuse(client, 503, 'no configuration has been received yet', retryAfterMs);
    }
    if (this.isClosed(arrivedAt)) return this.refuseDuringStop(client);
    const { url = '/', method = 'GET', headers } = client.request;
    const route = this.tableFor(configuration).match(headers.host ?? '', url);
    if (route === undefined) {
      return this.refuse(client, 404, `no route matches in configuration ${configuration.version}`);
    }
    if (decoded.isErr()) {
      const { field, expected } = decoded.error;
      return this.refuse(client, httpStatus.invalid, `${field}: expected ${expected}`);
    }
    const fields = decoded.value;
    const authorized = this.context.authorizer.authorize(route, fields.apiKey, arrivedAt);
    if (authorized.isErr()) {
      const { status, reason, retryAfterMs } = authorized.error;
      return this.refuse(client, status, reason, retryAfterMs);
    }
    // A stream goes on at the service that began it, so the attempt that began it decides.
    const service = selectService(route, fields.resumes ?? fields.id);
    if (!namesKnownModel(configuration, service, fields)) {
      const { defaultRetryAfterMs } = this.context.settings;
      const reason = `configuration ${configuration.version} has no such model or adapter`;
      return this.refuse(client, httpStatus.unavailable, reason, defaultRetryAfterMs);
    }
    if (exceedsEngines(configuration, service, fields)) {
      return this.refuse(client, httpStatus.unavailable, tooLargeReason, tooLargeRetryAfterMs);
    }
    if (fields.model !== undefined) {
      this.context.usage.recordArrival(service, fields.model, fields.adapter);
    }
    const deadline = deadlineOf(route, fields, arrivedAt);
    if (!this.context.stop.takes(expectedWork({ fields, service, deadline }), arrivedAt)) {
      return this.refuseDuringStop(client);
    }
    const read = await this.readBody(client, configuration.limits, deadline);
    if (read.kind !== 'complete') return this.endWithoutBody(client, read.kind);
    const content = { method, path: url, headers, body: read.body };
    const clientRequest: ClientRequest = {
      ...content,
      fields,
      digest: digestOf(content, fields),
      route,
      service,
      authorized: authorized.value,
      priority: authorized.value.customer?.priority ?? route.priority,
      arrivedAt,
      deadline,
      firstByteDeadline: Math.min(deadline, arrivedAt + (route.clientTimeoutMs ?? Infinity)),
      times: times.describe(authorized.value.customer, route),
    };
    return this.forward(clientRequest, client);
  }

  /** Forwards a request if its customer's quota allows it. */
  private async forward(
    clientRequest: ClientRequest,
    client: ClientExchange,
  ): Promise<ForwardResult> {
    const { quotas, budget } = this.context;
    const admitted = await quotas.admit(clientRequest);
    if (admitted.isErr()) {
      const { status, reason, retryAfterMs } = admitted.error;
      return this.refuse(client, status, reason, retryAfterMs);
    }
    budget(clientRequest.service).deposit(clientRequest.arrivedAt);
    const run = ForwardRun.create(this.context, clientRequest, client);
    const result = await run.run();
    if (admitted.value !== undefined && !run.mayHaveRun) quotas.refund(admitted.value);
    return result;
  }

  /** Whether no new request is taken any more. */
  private isClosed(now: number): boolean {
    const { closing, stop } = this.context;
    return closing.aborted || now >= stop.acceptsUntil;
  }

  private refuseDuringStop(client: ClientExchange): ForwardResult {
    const { shutdownRetryAfterMs } = this.context.settings;
    return this.refuse(client, httpStatus.unavailable, shutdownReason, shutdownRetryAfterMs);
  }

  private tableFor(configuration: Configuration): RouteTable {
    if (this.table === undefined || this.tableConfiguration !== configuration) {
      this.table = RouteTable.create(configuration);
      this.tableConfiguration = configuration;
    }
    return this.table;
  }

  /** Reads the body until the deadline, or until this process takes no more requests. */
  private async readBody(
    client: ClientExchange,
    { maxBodyBytes, idleTimeoutMs }: ClientLimits,
    deadline: number,
  ): Promise<BodyRead> {
    const { clock, closing } = this.context;
    const stopped = new AbortController();
    const stop = () => stopped.abort();
    const timer = setTimeout(stop, Math.max(0, deadline - clock.now()));
    closing.addEventListener('abort', stop, { once: true });
    if (closing.aborted) stop();
    const read = await client.body(
      { maxBytes: maxBodyBytes, progressTimeoutMs: idleTimeoutMs },
      stopped.signal,
    );
    clearTimeout(timer);
    closing.removeEventListener('abort', stop);
    return read;
  }

  /** Ends a request whose body was not read completely. */
  private endWithoutBody(
    client: ClientExchange,
    kind: Exclude<BodyRead['kind'], 'complete'>,
  ): ForwardResult {
    if (kind === 'gone') return { outcome: 'gone', status: 0, reason: 'the client disconnected' };
    const [status, reason, retryAfterMs] = this.bodyRefusal(kind);
    client.refuseBody(status, reason, retryAfterMs);
    return { outcome: 'refused', status, reason };
  }

  private bodyRefusal(
    kind: Exclude<BodyRead['kind'], 'complete' | 'gone'>,
  ): [number, string, number?] {
    const { closing, settings } = this.context;
    if (kind === 'too_large') return [httpStatus.tooLarge, 'the body is too large'];
    if (kind === 'shed') {
      return [httpStatus.unavailable, memoryReason, settings.defaultRetryAfterMs];
    }
    return closing.aborted
      ? [httpStatus.unavailable, shutdownReason, settings.shutdownRetryAfterMs]
      : [httpStatus.timeout, 'the body did not arrive in time'];
  }

  private refuse(
    client: ClientExchange,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): ForwardResult {
    client.fail(status, 'refused', reason, retryAfterMs);
    return { outcome: 'refused', status, reason };
  }

  private report(
    client: ClientExchange,
    fields: RequestFields | undefined,
    result: ForwardResult,
    arrivedAt: number,
    times: RequestTimes,
  ): void {
    const { telemetry, clock } = this.context;
    const now = clock.now();
    const elapsedMs = now - arrivedAt;
    telemetry.count('currantdrift_requests_total', { kind: 'forward', outcome: result.outcome });
    telemetry.observe('currantdrift_forward_seconds', elapsedMs / 1000, {
      outcome: result.outcome,
    });
    times.parts.forEach(([part, ms]) =>
      telemetry.observe('currantdrift_request_wait_seconds', ms / 1000, { part }),
    );
    telemetry.log('request', {
      id: logText(fields?.id),
      authority: logText(client.request.headers.host),
      path: logText(client.request.url),
      version: this.context.configuration()?.version,
      versionAgeMs: Math.round(this.context.configurationAgeMs(now)),
      model: logText(fields?.model),
      adapter: logText(fields?.adapter),
      resumes: logText(fields?.resumes),
      resumesAfter: logText(fields?.resumesAfter),
      outcome: result.outcome,
      status: result.status,
      reason: result.reason === '' ? undefined : logText(result.reason),
      elapsedMs: Math.round(elapsedMs),
      ...times.fields,
    });
  }
}
