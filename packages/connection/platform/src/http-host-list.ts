import { type Failure, type Host, HostKind, type HostList, HostState } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { HttpClient } from './http-client';

export interface HttpHostListSettings {
  /** `ip:port` of the host list. */
  readonly address: string;
  /** Time for one call, in ms; default 1000. */
  readonly timeoutMs?: number;
}

const defaultTimeoutMs = 1000;

const hostsSchema = z.object({
  hosts: z.array(
    z.object({
      name: z.string().min(1),
      kind: z.enum(HostKind),
      domain: z.string().min(1),
      address: z.string().regex(/^.+:\d+$/),
      state: z.enum(HostState),
      incarnation: z.number().int().nonnegative(),
      pool: z.string(),
      fencing: z.boolean(),
    }),
  ),
});

/** The platform's host list over HTTP. */
export class HttpHostList implements HostList {
  private constructor(
    private readonly client: HttpClient,
    private readonly timeoutMs: number,
  ) {}

  static create(settings: HttpHostListSettings): HttpHostList {
    const client = HttpClient.create(settings.address, `hosts ${settings.address}`);
    return new HttpHostList(client, settings.timeoutMs ?? defaultTimeoutMs);
  }

  async read(): Promise<Result<readonly Host[], Failure>> {
    const step = 'hosts.read';
    const { timeoutMs } = this;
    const answer = await this.client.call({ step, method: 'GET', path: '/hosts', timeoutMs });
    return answer
      .andThen((received) => this.client.parse(step, hostsSchema, received))
      .map(({ hosts }) => hosts);
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }
}
