import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Configuration } from '@currantdrift/routes';
import { RouteTable, selectService } from '@currantdrift/routes';
import { type BodyRead, ClientExchange } from './client-exchange';
import { type ClientRequest, endOf } from './client-request';
import type { RequestFields } from './endpoint-protocol';
import type { ForwardContext } from './forward-context';
import { type Ending, ForwardRun } from './forward-run';

const statusOf = { late: 408, tooLarge: 413 } as const;

/** Answers clients' requests. */
export class Forwarder {
  private table: RouteTable | undefined;

  private tableOf: Configuration | undefined;

  private open = 0;

  private constructor(private readonly context: ForwardContext) {}

  static create(context: ForwardContext): Forwarder {
    return new Forwarder(context);
  }

  /** Requests that have arrived and are not answered. */
  get openRequests(): number {
    return this.open;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.context.clock.now();
    const client = ClientExchange.create(request, response);
    this.open += 1;
    const fields = this.context.protocol.requestFields(request.headers);
    const ending = await this.serve(client, fields, arrivedAt);
    this.open -= 1;
    this.report(client, fields, ending, arrivedAt);
  }

  private async serve(
    client: ClientExchange,
    fields: RequestFields | undefined,
    arrivedAt: number,
  ): Promise<Ending> {
    const configuration = this.context.configuration();
    if (configuration === undefined) {
      const retryAfterMs = this.context.settings.defaultRetryAfterMs;
      return this.refuse(client, 503, 'no configuration is known yet', retryAfterMs);
    }
    if (this.context.closing.aborted) {
      const { closingRetryAfterMs } = this.context.settings;
      return this.refuse(client, 503, 'this process stops', closingRetryAfterMs);
    }
    const { url = '/', method = 'GET', headers } = client.request;
    const route = this.tableFor(configuration).match(headers.host ?? '', url);
    if (route === undefined) {
      return this.refuse(client, 404, `no route in configuration ${configuration.version}`);
    }
    if (fields === undefined) return this.refuse(client, 400, 'the request has no identifier');
    const service = selectService(route, fields.id);
    if (fields.model !== undefined) {
      this.context.usage.arrived(service, fields.model, fields.adapter);
    }
    const endsAt = endOf(route, fields, arrivedAt);
    const read = await this.readBody(client, configuration.limits.maxBodyBytes, endsAt);
    if (read.kind !== 'whole') return this.bodyless(client, read.kind);
    const clientRequest: ClientRequest = {
      fields,
      method,
      path: url,
      headers,
      body: read.body,
      route,
      service,
      arrivedAt,
      endsAt,
      firstByteBy: Math.min(endsAt, arrivedAt + (route.clientTimeoutMs ?? Infinity)),
    };
    this.context.budget(service).deposit(arrivedAt);
    return ForwardRun.create(this.context, clientRequest, client).run();
  }

  private tableFor(configuration: Configuration): RouteTable {
    if (this.table === undefined || this.tableOf !== configuration) {
      this.table = RouteTable.create(configuration);
      this.tableOf = configuration;
    }
    return this.table;
  }

  private async readBody(
    client: ClientExchange,
    maxBytes: number,
    endsAt: number,
  ): Promise<BodyRead> {
    const late = new AbortController();
    const timer = setTimeout(() => late.abort(), Math.max(0, endsAt - this.context.clock.now()));
    const read = await client.body(maxBytes, late.signal);
    clearTimeout(timer);
    return read;
  }

  /** Ends a request whose body was not read to its end. */
  private bodyless(client: ClientExchange, kind: Exclude<BodyRead['kind'], 'whole'>): Ending {
    if (kind === 'gone') return { outcome: 'gone', status: 0, reason: 'client left' };
    const [status, reason] =
      kind === 'late'
        ? [statusOf.late, 'the body did not arrive in time']
        : [statusOf.tooLarge, 'the body is too large'];
    client.refuseBody(status, reason);
    return { outcome: 'refused', status, reason };
  }

  private refuse(
    client: ClientExchange,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): Ending {
    client.fail(status, 'refused', reason, retryAfterMs);
    return { outcome: 'refused', status, reason };
  }

  private report(
    client: ClientExchange,
    fields: RequestFields | undefined,
    ending: Ending,
    arrivedAt: number,
  ): void {
    const { telemetry, clock } = this.context;
    const now = clock.now();
    const elapsedMs = now - arrivedAt;
    telemetry.count('currantdrift_requests_total', { kind: 'forward', outcome: ending.outcome });
    telemetry.observe('currantdrift_forward_seconds', elapsedMs / 1000, {
      outcome: ending.outcome,
    });
    telemetry.log('request', {
      id: fields?.id,
      authority: client.request.headers.host,
      path: client.request.url,
      version: this.context.configuration()?.version,
      versionAgeMs: Math.round(this.context.configurationAgeMs(now)),
      model: fields?.model,
      adapter: fields?.adapter,
      outcome: ending.outcome,
      status: ending.status,
      reason: ending.reason === '' ? undefined : ending.reason,
      elapsedMs: Math.round(elapsedMs),
    });
  }
}
