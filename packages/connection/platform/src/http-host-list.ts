import {
  type DomainHosts,
  type Failure,
  FailureKind,
  type Host,
  HostKind,
  type HostList,
  HostState,
} from '@currantdrift/core';
import type { WholeAnswer } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { PlatformClient } from './platform-client';

export interface HttpHostListSettings {
  /** `ip:port` of the host list. */
  readonly address: string;
  /** Time for one call, in ms; default 1000. */
  readonly timeoutMs?: number;
}

/** A copy of a part of the list. */
interface Copy extends DomainHosts {
  /** Revision of the list; undefined if the server does not state it. */
  readonly revision: string | undefined;
}

const defaultTimeoutMs = 1000;

const notModified = 304;

const hostSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(HostKind),
  domain: z.string().min(1),
  address: z.string().regex(/^.+:\d+$/),
  state: z.enum(HostState),
  incarnation: z.number().int().nonnegative(),
  pool: z.string(),
  fencing: z.boolean(),
});

const engines = z.number().int().nonnegative();

const wholeSchema = z.object({
  engines: engines.optional(),
  hosts: z.array(hostSchema),
});

const changesSchema = z.object({
  since: z.string(),
  engines: engines.optional(),
  changed: z.array(hostSchema),
  removed: z.array(z.string()),
});

const answerSchema = z.union([wholeSchema, changesSchema]);

type HostsAnswer = z.infer<typeof answerSchema>;

const countEngines = (hosts: readonly Host[]): number =>
  hosts.filter(({ kind }) => kind === HostKind.engine).length;

/** Revision that the answer's strong entity tag states (RFC 9110, section 8.8.3). */
const revisionOf = ({ headers }: WholeAnswer): string | undefined => {
  const tag = headers.etag;
  return typeof tag === 'string' ? /^"([^"]+)"$/.exec(tag)?.[1] : undefined;
};

/** `hosts` without `removed` and with `changed`; a changed host keeps its place. */
const applyChanges = (
  hosts: readonly Host[],
  changed: readonly Host[],
  removed: readonly string[],
): readonly Host[] => {
  if (changed.length === 0 && removed.length === 0) return hosts;
  const byName = new Map(hosts.map((host) => [host.name, host]));
  removed.forEach((name) => byName.delete(name));
  changed.forEach((host) => byName.set(host.name, host));
  return [...byName.values()];
};

/** The platform's host list over HTTP. After the first read only changes are transferred. */
export class HttpHostList implements HostList {
  /** Copies by the path that they are read from. */
  private readonly copies = new Map<string, Copy>();

  private constructor(
    private readonly client: PlatformClient,
    private readonly timeoutMs: number,
  ) {}

  static create(settings: HttpHostListSettings): HttpHostList {
    const client = PlatformClient.create(settings.address, `hosts ${settings.address}`);
    return new HttpHostList(client, settings.timeoutMs ?? defaultTimeoutMs);
  }

  async read(): Promise<Result<readonly Host[], Failure>> {
    return (await this.update('/hosts')).map(({ hosts }) => hosts);
  }

  readDomain(domain: string): Promise<Result<DomainHosts, Failure>> {
    return this.update(`/hosts?domain=${encodeURIComponent(domain)}`);
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  private async update(part: string): Promise<Result<Copy, Failure>> {
    const step = 'hosts.read';
    const { timeoutMs } = this;
    const known = this.copies.get(part);
    const revision = known?.revision;
    const since = revision === undefined ? '' : `since=${encodeURIComponent(revision)}`;
    const separator = part.includes('?') ? '&' : '?';
    const path = since === '' ? part : `${part}${separator}${since}`;
    const headers: Record<string, string> =
      revision === undefined ? {} : { 'if-none-match': `"${revision}"` };
    const answer = await this.client.call({ step, method: 'GET', path, headers, timeoutMs }, [
      notModified,
    ]);
    const copy = answer.andThen((received) => this.take(step, known, received));
    if (copy.isOk()) this.copies.set(part, copy.value);
    // A copy that changes do not fit is read whole the next time.
    else if (copy.error.kind === FailureKind.invalid) this.copies.delete(part);
    return copy;
  }

  private take(
    step: string,
    known: Copy | undefined,
    received: WholeAnswer,
  ): Result<Copy, Failure> {
    if (received.status === notModified) {
      return known === undefined ? err(this.unfit(step, 'status 304 to a first read')) : ok(known);
    }
    return this.client
      .parse<HostsAnswer>(step, answerSchema, received)
      .andThen((parsed) => this.merge(step, known, parsed, revisionOf(received)));
  }

  private merge(
    step: string,
    known: Copy | undefined,
    parsed: HostsAnswer,
    revision: string | undefined,
  ): Result<Copy, Failure> {
    if ('hosts' in parsed) {
      const { hosts } = parsed;
      return ok({ hosts, revision, engines: parsed.engines ?? countEngines(hosts) });
    }
    if (known?.revision !== parsed.since) {
      return err(this.unfit(step, `changes since ${parsed.since}, which was not asked for`));
    }
    const hosts = applyChanges(known.hosts, parsed.changed, parsed.removed);
    return ok({ hosts, revision, engines: parsed.engines ?? countEngines(hosts) });
  }

  private unfit(step: string, message: string): Failure {
    return this.client.failure(step, FailureKind.invalid, message);
  }
}
