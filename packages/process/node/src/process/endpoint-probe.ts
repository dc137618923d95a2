import { type Clock, type DomainView, FailureKind, HostState } from '@currantdrift/core';
import { EngineState, type WatchedRequest } from '@currantdrift/quarantine';
import { startOf } from '../request/request-guard';
import type { EndpointCache } from './endpoint-cache';

/** Timeout of a question to an engine whose connection broke, in ms. */
const timeoutMs = 1_000;

/** Finds out whether an engine whose connections broke has ended. */
export class EndpointProbe {
  private constructor(
    private readonly endpoints: EndpointCache,
    private readonly view: DomainView,
    private readonly clock: Clock,
  ) {}

  static create(endpoints: EndpointCache, view: DomainView, clock: Clock): EndpointProbe {
    return new EndpointProbe(endpoints, view, clock);
  }

  /** An engine that has announced its end counts as unknown, since it ends as planned. */
  async check({ endpoint, bornAt }: WatchedRequest): Promise<EngineState> {
    const state = this.view.endpoint(endpoint);
    if (state === undefined || startOf(state.bootId) !== bornAt) return EngineState.ended;
    if (state.state === HostState.leaving) return EngineState.unknown;
    const timeout = new AbortController();
    const done = new AbortController();
    this.clock.sleep(timeoutMs, done.signal).then(() => timeout.abort());
    const report = await this.endpoints.get(state.host).report(timeout.signal);
    done.abort();
    if (report.isOk()) {
      return startOf(report.value.bootId) === bornAt ? EngineState.alive : EngineState.ended;
    }
    return report.error.kind === FailureKind.unreachable ? EngineState.ended : EngineState.unknown;
  }
}
