import { setMaxListeners } from 'node:events';
import { HttpEndpointConnector } from '@currantdrift/endpoint';
import { type Clock, SystemClock, SystemRandom } from '@currantdrift/core';
import { TrustedKeys } from '@currantdrift/bundle';
import {
  ByteBudget,
  type ClientMemory,
  type HostShares,
  sharesOf,
  ShedReport,
} from '@currantdrift/http';
import { Node } from '@currantdrift/node';
import { WebSocketNetwork } from '@currantdrift/peer';
import { HttpHostList, HttpStore } from '@currantdrift/platform';
import type { Settings } from '@currantdrift/settings';
import { enableLogs, ProcessTelemetry, SpanTracer } from '@currantdrift/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { CallersInterface } from '../request/callers-interface';
import { HttpServer, type ListenFailure } from './http-server';
import { OperatorsInterface } from './operators-interface';

interface DaemonParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly telemetry: ProcessTelemetry;
  readonly node: Node;
  /** Aborted once callers' requests are refused. */
  readonly closing: AbortController;
  readonly callers: HttpServer;
  readonly operators: HttpServer;
}

/** Interval between updates of the gauges, in ms. */
const gaugePeriodMs = 1_000;

const createNode = (
  settings: Settings,
  trusted: TrustedKeys,
  clock: Clock,
  telemetry: ProcessTelemetry,
  memory: ClientMemory,
  { peerConnections }: HostShares,
): Node =>
  Node.create({
    name: settings.name,
    domain: settings.domain,
    region: settings.region,
    address: settings.peers.address,
    operatorAddress: settings.operators.address,
    seeds: settings.peers.seeds,
    trusted,
    trustedKeys: settings.trustedKeys,
    prices: settings.prices,
    weights: settings.weights,
    queue: settings.queue,
    stopDurations: {
      keepIdleMs: settings.stopping.drainDelayMs,
      acceptMs: settings.stopping.drainDelayMs,
      finishMs: settings.stopping.timeoutMs,
    },
    clock,
    telemetry,
    random: SystemRandom.create(),
    store: HttpStore.create({
      address: settings.platform.store,
      timeoutMs: settings.platform.timeoutMs,
    }),
    hostList: HttpHostList.create({
      address: settings.platform.hosts,
      timeoutMs: settings.platform.timeoutMs,
      onMalformed: ({ name, reason }) => {
        telemetry.count('currantdrift_malformed_entries_total', { kind: 'host' });
        telemetry.log('host.malformed', { name, reason });
      },
    }),
    connector: HttpEndpointConnector.create(),
    network: WebSocketNetwork.create({ maxConnections: peerConnections, memory }),
  });

/** A daemon process: a `Node` with HTTP servers for callers and operators. */
export class Daemon {
  private readonly stopping = new AbortController();

  private constructor(private readonly parts: DaemonParts) {}

  /** Creates a daemon from its settings; an error is a message for the operator. */
  static create(settings: Settings): Result<Daemon, string> {
    const trusted = TrustedKeys.create(settings.trustedKeys);
    if (trusted.isErr()) {
      return err(
        trusted.error.map(({ path, expected }) => `${path}: expected ${expected}`).join('\n'),
      );
    }
    enableLogs(settings.telemetry.logs);
    const clock = SystemClock.create();
    const telemetry = ProcessTelemetry.create({
      clock,
      commonFields: { host: settings.name, domain: settings.domain },
      tracer: SpanTracer.create(settings.telemetry.traces),
    });
    const shares = sharesOf(settings.limits);
    const report = ShedReport.create(telemetry);
    const memory = { budget: ByteBudget.create(shares.heldBytes), report };
    const node = createNode(settings, trusted.value, clock, telemetry, memory, shares);
    const { connectionsPerAddress: perAddress } = settings.limits;
    const closing = new AbortController();
    // Every request adds a listener, so the default limit would print warnings.
    setMaxListeners(0, closing.signal);
    const callers = CallersInterface.create({
      entry: node.entry,
      clock,
      telemetry,
      body: { maxBytes: settings.callers.maxBodyBytes, timeoutMs: settings.callers.bodyTimeoutMs },
      deadlines: settings.callers,
      memory,
      closing: closing.signal,
    });
    const operators = OperatorsInterface.create({
      operations: node,
      metrics: telemetry.metrics,
      telemetry,
      tokenHashes: settings.operators.tokenHashes,
    });
    return ok(
      new Daemon({
        settings,
        clock,
        telemetry,
        node,
        closing,
        callers: HttpServer.create(
          callers.routes().fetch,
          settings.callers.address,
          { maxConnections: shares.clientConnections, perAddress },
          report,
        ),
        operators: HttpServer.create(
          operators.routes().fetch,
          settings.operators.address,
          { maxConnections: shares.statusConnections, perAddress },
          report,
        ),
      }),
    );
  }

  /** Opens the ports and joins the domain. */
  async start(): Promise<Result<void, ListenFailure>> {
    const { callers, operators, node, telemetry, settings } = this.parts;
    const listening = await operators.listen();
    if (listening.isErr()) return err(listening.error);
    const started = await node.start();
    if (started.isErr()) {
      return err({ address: settings.peers.address, message: started.error.message });
    }
    const open = await callers.listen();
    if (open.isErr()) return err(open.error);
    this.readGauges().catch((error: unknown) => {
      telemetry.log('gauges failed', { message: String(error) });
    });
    telemetry.log('started', { callers: settings.callers.address });
    return ok(undefined);
  }

  /** Stops gracefully; requests still open after `stopping.timeoutMs` are interrupted. */
  async stop(): Promise<void> {
    const { callers, operators, node, telemetry, settings, clock } = this.parts;
    const end = clock.now() + settings.stopping.timeoutMs;
    telemetry.log('stopping');
    node.beginStop();
    // The load balancer notices the failed readiness check with a delay; until then, new
    // connections are still served.
    await clock.sleep(settings.stopping.drainDelayMs);
    this.parts.closing.abort();
    await node.leave();
    const cut = await callers.close(clock, Math.max(0, end - clock.now()));
    const open = await node.stop(Math.max(0, end - clock.now()));
    await operators.close(clock, 0);
    this.stopping.abort();
    telemetry.log('stopped', { cutConnections: cut, openRequests: open });
    await telemetry.close();
  }

  private async readGauges(): Promise<void> {
    const { clock, node } = this.parts;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      node.report();
      await clock.sleep(gaugePeriodMs, signal);
    }
  }
}
