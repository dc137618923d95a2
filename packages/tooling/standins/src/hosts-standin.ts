import { type Host, HostKind, HostState } from '@currantdrift/core';
import { Hono } from 'hono';
import { z } from 'zod';
import { readBody } from './body';
import { parseConfig } from './parse-config';
import type { Standin } from './standin';
import { refuse, type StandinApp, StandinServer } from './standin-server';

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

interface Version {
  readonly at: number;
  readonly hosts: ReadonlyMap<string, Host>;
}

/** The platform's host list, which shows changes after a lag. */
export class HostsStandin implements Standin {
  /** Versions of the list; the first is the one that shows now. */
  private versions: Version[] = [{ at: 0, hosts: new Map() }];

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
    const hosts = new Map(this.versions[this.versions.length - 1].hosts);
    if (parsed.action === 'add') {
      const known = hosts.get(parsed.host.name);
      const incarnation = parsed.host.incarnation ?? (known?.incarnation ?? 0) + 1;
      hosts.set(parsed.host.name, { ...parsed.host, incarnation });
    } else {
      const known = hosts.get(parsed.name);
      if (known === undefined) return false;
      if (parsed.action === 'remove') hosts.delete(parsed.name);
      else hosts.set(parsed.name, { ...known, state: 'leaving' });
    }
    this.versions.push({ at: now, hosts });
    return true;
  }

  /** The list as it shows at `now`. */
  shown(now = Date.now()): Host[] {
    while (this.versions.length > 1 && this.versions[1].at + this.config.lagMs <= now) {
      this.versions.shift();
    }
    return [...this.versions[0].hosts.values()];
  }

  private app(): StandinApp {
    const app: StandinApp = new Hono();
    app.get('/hosts', (context) =>
      this.outage === 'refuse'
        ? refuse(context, 503, 'the host list is down', 1000)
        : context.json({ hosts: this.shown() }),
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
