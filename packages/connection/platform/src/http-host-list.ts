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
  /** `ip:port` of the host list service. */
  readonly address: string;
  /** Timeout of one call, in ms; default 1000. */
  readonly timeoutMs?: number;
  /** Called for each entry that is not a valid host. */
  readonly onMalformed?: (entry: MalformedHost) => void;
}

/** An entry of the list that is not a valid host. */
export interface MalformedHost {
  /** Name in the entry; empty if it has none. */
  readonly name: string;
  /** The first wrong field, and what is wrong with it. */
  readonly reason: string;
}

/** Hosts read from one path, kept so that the next read transfers only changes. */
interface CachedHosts extends DomainHosts {
  /** Revision of the list; undefined if the server sent no strong entity tag. */
  readonly revision: string | undefined;
}

const defaultTimeoutMs = 1000;

const notModified = 304;

const maxPort = 65_535;

const isAddress = (text: string): boolean => {
  const [, port] = /^.+:(\d{1,5})$/u.exec(text) ?? [];
  return Number(port) > 0 && Number(port) <= maxPort;
};

const hostSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(HostKind),
  domain: z.string().min(1),
  address: z.string().refine(isAddress, 'expected IP:PORT'),
  state: z.enum(HostState),
  incarnation: z.number().int().nonnegative(),
  pool: z.string(),
  fencing: z.boolean(),
});

const engineCountSchema = z.number().int().nonnegative();

const fullListSchema = z.object({
  engines: engineCountSchema.optional(),
  /** Each one is parsed on its own, so that an odd one hides no other. */
  hosts: z.array(z.unknown()),
});

const changesSchema = z.object({
  since: z.string(),
  engines: engineCountSchema.optional(),
  changed: z.array(z.unknown()),
  removed: z.array(z.string()),
});

const responseSchema = z.union([fullListSchema, changesSchema]);

type HostsResponse = z.infer<typeof responseSchema>;

const namedSchema = z.object({ name: z.string() });

const nameOf = (entry: unknown): string => namedSchema.safeParse(entry).data?.name ?? '';

const countEngines = (hosts: readonly Host[]): number =>
  hosts.filter(({ kind }) => kind === HostKind.engine).length;

/** Revision in the strong entity tag of the response (RFC 9110, section 8.8.3). */
const revisionOf = ({ headers }: WholeAnswer): string | undefined => {
  const tag = headers.etag;
  return typeof tag === 'string' ? /^"([^"]+)"$/.exec(tag)?.[1] : undefined;
};

/** Removes, replaces and adds hosts; a replaced host keeps its position. */
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

/**
 * The platform's host list over HTTP. After the first read, only changes are transferred if the
 * server supports it.
 */
export class HttpHostList implements HostList {
  /** Last known hosts by the path that they were read from. */
  private readonly cache = new Map<string, CachedHosts>();

  private constructor(
    private readonly client: PlatformClient,
    private readonly timeoutMs: number,
    private readonly onMalformed: (entry: MalformedHost) => void,
  ) {}

  static create(settings: HttpHostListSettings): HttpHostList {
    const client = PlatformClient.create(settings.address, `hosts ${settings.address}`);
    const { timeoutMs = defaultTimeoutMs, onMalformed = () => {} } = settings;
    return new HttpHostList(client, timeoutMs, onMalformed);
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

  private async update(listPath: string): Promise<Result<CachedHosts, Failure>> {
    const step = 'hosts.read';
    const { timeoutMs } = this;
    const cached = this.cache.get(listPath);
    const revision = cached?.revision;
    const since = revision === undefined ? '' : `since=${encodeURIComponent(revision)}`;
    const separator = listPath.includes('?') ? '&' : '?';
    const path = since === '' ? listPath : `${listPath}${separator}${since}`;
    const headers: Record<string, string> =
      revision === undefined ? {} : { 'if-none-match': `"${revision}"` };
    const answer = await this.client.call({ step, method: 'GET', path, headers, timeoutMs }, [
      notModified,
    ]);
    const updated = answer.andThen((received) => this.applyResponse(step, cached, received));
    if (updated.isOk()) this.cache.set(listPath, updated.value);
    // After an invalid response, such as changes since another revision, the next read is a full one.
    else if (updated.error.kind === FailureKind.invalid) this.cache.delete(listPath);
    return updated;
  }

  private applyResponse(
    step: string,
    cached: CachedHosts | undefined,
    received: WholeAnswer,
  ): Result<CachedHosts, Failure> {
    if (received.status === notModified) {
      return cached === undefined
        ? err(this.invalidResponse(step, 'status 304, but no hosts are cached'))
        : ok(cached);
    }
    return this.client
      .parse<HostsResponse>(step, responseSchema, received)
      .andThen((parsed) => this.merge(step, cached, parsed, revisionOf(received)));
  }

  private merge(
    step: string,
    cached: CachedHosts | undefined,
    parsed: HostsResponse,
    revision: string | undefined,
  ): Result<CachedHosts, Failure> {
    if ('hosts' in parsed) {
      const hosts = this.parseHosts(parsed.hosts, cached);
      if (hosts.length === 0 && parsed.hosts.length > 0) {
        return err(this.invalidResponse(step, 'no entry of the list is a valid host'));
      }
      return ok({ hosts, revision, engines: parsed.engines ?? countEngines(hosts) });
    }
    if (cached?.revision !== parsed.since) {
      return err(
        this.invalidResponse(
          step,
          `changes since revision ${parsed.since}, which was not requested`,
        ),
      );
    }
    const changed = this.parseHosts(parsed.changed, cached);
    const hosts = applyChanges(cached.hosts, changed, parsed.removed);
    return ok({ hosts, revision, engines: parsed.engines ?? countEngines(hosts) });
  }

  /** The valid hosts; in place of an entry that is not valid, the last known host of its name. */
  private parseHosts(entries: readonly unknown[], cached: CachedHosts | undefined): Host[] {
    return entries.flatMap((entry) => {
      const parsed = hostSchema.safeParse(entry);
      if (parsed.success) return parsed.data;
      const name = nameOf(entry);
      const [issue] = parsed.error.issues;
      this.onMalformed({ name, reason: `${issue.path.map(String).join('.')}: ${issue.message}` });
      return cached?.hosts.find((host) => host.name === name) ?? [];
    });
  }

  private invalidResponse(step: string, message: string): Failure {
    return this.client.failure(step, FailureKind.invalid, message);
  }
}
