import { randomUUID } from 'node:crypto';
import { type Host, HostKind, HostState } from '@currantdrift/core';
import { Hono } from 'hono';
import { z } from 'zod';
import { readBody } from './body';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import { refuse, type StandinApp, type StandinContext, StandinServer } from './standin-server';

const hostSchema = z.strictObject({
  name: z.string().min(1),
  kind: z.enum(HostKind),
  domain: z.string().min(1),
  address: z.string().regex(/^.+:\d+$/),
  state: z.enum(HostState).default('live'),
  /** One above that of the host it replaces, if not given. */
  incarnation: z.number().int().positive().optional(),
  pool: z.string().default(''),
  fencing: z.boolean().default(false),
});

export const hostsConfigSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  /** Time until a change shows, in ms. */
  lagMs: z.number().nonnegative().default(2000),
  /** Hosts that show from the start. */
  hosts: z.array(hostSchema).default([]),
});

export const hostsChangeSchema = z.discriminatedUnion('action', [
  z.strictObject({ action: z.literal('add'), host: hostSchema }),
  z.strictObject({ action: z.literal('leaving'), name: z.string() }),
  z.strictObject({ action: z.literal('remove'), name: z.string() }),
]);

export const hostsFaultsSchema = z.strictObject({ outage: z.enum(['none', 'refuse']) });

export type HostsChange = z.input<typeof hostsChangeSchema>;
type HostsConfig = z.infer<typeof hostsConfigSchema>;

/** A change and when it was made. */
interface Change {
  readonly at: number;
  readonly name: string;
  /** Undefined if the host was removed. */
  readonly host: Host | undefined;
}

/** A change that shows. */
interface Shown extends Change {
  /** The host as it was before. */
  readonly before: Host | undefined;
}

/** Number of past changes that a reader can catch up on; above it the list is sent whole. */
const keptChanges = 1000;

/** Whether a reader of `domain` sees the host; a reader of no domain sees all. */
const concerns = (host: Host | undefined, domain: string | undefined): boolean =>
  host !== undefined &&
  (domain === undefined || host.domain === domain || host.kind === HostKind.daemon);

/** The platform's host list, which shows changes after a lag. */
export class HostsStandin implements Standin {
  /** Tells revisions of this process from those of earlier ones. */
  private readonly instance = randomUUID().slice(0, 8);

  /** The list with all changes. */
  private readonly latest = new Map<string, Host>();

  /** Changes that do not show yet. */
  private pending: Change[] = [];

  /** The list as it shows. */
  private readonly showing = new Map<string, Host>();

  /** Number of changes that show. */
  private revision = 0;

  /** The last changes that show, oldest first. */
  private past: Shown[] = [];

  private outage: 'none' | 'refuse' = 'none';

  private server: StandinServer | undefined;

  private constructor(private readonly config: HostsConfig) {
    config.hosts.forEach((host) => this.change({ action: 'add', host }, 0));
  }

  /** Throws an error that names each mistake of `config`. */
  static create(config: unknown = {}): HostsStandin {
    return new HostsStandin(parseConfig(hostsConfigSchema, config));
  }

  async listen(): Promise<string> {
    this.server = await StandinServer.listen(this.app(), this.config.port);
    return this.server.address;
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  /** Makes a change that shows `lagMs` after `now`. False if there is no such host. */
  change(change: HostsChange, now = Date.now()): boolean {
    const parsed = hostsChangeSchema.parse(change);
    if (parsed.action === 'add') {
      const { name } = parsed.host;
      const incarnation = parsed.host.incarnation ?? (this.latest.get(name)?.incarnation ?? 0) + 1;
      this.record({ at: now, name, host: { ...parsed.host, incarnation } });
      return true;
    }
    const { action, name } = parsed;
    const known = this.latest.get(name);
    if (known === undefined) return false;
    const host: Host | undefined =
      action === 'remove' ? undefined : { ...known, state: HostState.leaving };
    this.record({ at: now, name, host });
    return true;
  }

  /** The list as it shows at `now`. */
  shown(now = Date.now()): Host[] {
    this.advance(now);
    return [...this.showing.values()];
  }

  private record(change: Change): void {
    if (change.host === undefined) this.latest.delete(change.name);
    else this.latest.set(change.name, change.host);
    this.pending.push(change);
  }

  /** Shows the changes whose lag is over at `now`. */
  private advance(now: number): void {
    const first = this.pending.findIndex(({ at }) => at + this.config.lagMs > now);
    const due = this.pending.splice(0, first === -1 ? this.pending.length : first);
    due.forEach((change) => {
      const { host, name } = change;
      this.past.push({ ...change, before: this.showing.get(name) });
      if (host === undefined) this.showing.delete(name);
      else this.showing.set(name, host);
    });
    this.revision += due.length;
    this.past = this.past.slice(-keptChanges);
  }

  /** Answers with what changed since the reader's revision, or with the whole list. */
  private list(context: StandinContext): Response {
    const { domain, since } = context.req.query();
    this.advance(Date.now());
    const revision = `${this.instance}-${this.revision}`;
    context.header('etag', `"${revision}"`);
    if (context.req.header('if-none-match') === `"${revision}"`) return context.body(null, 304);
    const hosts = [...this.showing.values()];
    const engines = hosts.filter(({ kind }) => kind === HostKind.engine).length;
    // A reader of all hosts can count them.
    const counted = domain === undefined ? {} : { engines };
    const past = this.since(since);
    if (past === undefined) {
      return context.json({
        ...counted,
        hosts: hosts.filter((host) => concerns(host, domain)),
      });
    }
    const isShown = (name: string) => concerns(this.showing.get(name), domain);
    const names = new Set(past.map(({ name }) => name));
    const wereShown = past.filter(({ before }) => concerns(before, domain));
    return context.json({
      ...counted,
      since,
      changed: [...names].filter(isShown).map((name) => this.showing.get(name)),
      removed: [...new Set(wereShown.map(({ name }) => name))].filter((name) => !isShown(name)),
    });
  }

  /** Changes since a revision; undefined if it is not known or too old. */
  private since(revision: string | undefined): readonly Shown[] | undefined {
    const [instance, count] = revision?.split('-') ?? [];
    const missing = this.revision - Number(count);
    const isKnown = instance === this.instance && missing >= 0 && missing <= this.past.length;
    return isKnown ? this.past.slice(this.past.length - missing) : undefined;
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    app.get('/hosts', (context) =>
      this.outage === 'refuse'
        ? refuse(context, 503, 'the host list is down', 1000)
        : this.list(context),
    );
    app.post('/hosts', async (context) => {
      const body = await readBody(context, hostsChangeSchema);
      if ('answer' in body) return body.answer;
      return this.change(body.value)
        ? context.json({})
        : refuse(context, 404, 'there is no such host');
    });
    app.post('/faults', async (context) => {
      const body = await readBody(context, hostsFaultsSchema);
      if ('answer' in body) return body.answer;
      this.outage = body.value.outage;
      return context.json(body.value);
    });
    return app;
  }
}
