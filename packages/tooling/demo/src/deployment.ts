import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { tmpdir } from 'node:os';
import { type ExitCode, run } from '@currantdrift/cli';
import { type Exit, ManagedProcess } from '@currantdrift/standins';
import { request } from 'undici';

/** Token whose hash stands in the settings of the examples. */
export const operatorToken = 'example-operator-token';

/** Addresses of a running daemon. */
export interface RunningDaemon {
  readonly name: string;
  readonly domain: string;
  /** URL of the callers' port. */
  readonly callers: string;
  /** URL of the operators' port. */
  readonly operators: string;
  readonly process: ManagedProcess;
}

export interface CliResult {
  readonly code: ExitCode;
  readonly text: string;
}

const daemonScript = join(
  dirname(require.resolve('@currantdrift/daemon')),
  '../bin/currantdriftd.js',
);
const standinScript = join(dirname(require.resolve('@currantdrift/standins')), '../bin/standin.js');

const pollMs = 50;

const configNames = (folder: string): string[] =>
  readdirSync(folder)
    .filter((file) => file.endsWith('.json'))
    .map((file) => file.slice(0, -'.json'.length))
    .sort();

const readJson = (file: string) => JSON.parse(readFileSync(file, 'utf8'));

const isReady = async (url: string): Promise<boolean> => {
  try {
    const { statusCode, body } = await request(url, { headersTimeout: 1000 });
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
};

/** An example deployment that runs as processes of this machine. */
export class Deployment {
  readonly daemons = new Map<string, RunningDaemon>();

  private readonly standins: ManagedProcess[] = [];

  /** All daemon processes that were started, replaced ones included. */
  private readonly started: ManagedProcess[] = [];

  private constructor(
    readonly folder: string,
    readonly operators: readonly string[],
  ) {}

  /** Copies an example to a folder of its own and makes the operators' keys. */
  static async create(example: string): Promise<Deployment> {
    const folder = mkdtempSync(join(tmpdir(), 'currantdrift-'));
    // Keys that were made in the example itself stay there.
    const ownKeys = join(example, 'keys');
    cpSync(example, folder, { recursive: true, filter: (source) => source !== ownKeys });
    mkdirSync(join(folder, 'keys'));
    mkdirSync(join(folder, 'logs'));
    const [first] = configNames(join(folder, 'daemons'));
    const { trustedKeys } = readJson(join(folder, 'daemons', `${first}.json`));
    const deployment = new Deployment(folder, Object.keys(trustedKeys));
    for (const operator of deployment.operators) {
      await deployment.cli('keys', 'generate', join(folder, 'keys', operator));
    }
    return deployment;
  }

  /** Starts the platform, the endpoints and the daemons; waits until all serve. */
  async start(): Promise<void> {
    ['store', 'hosts', 'weights'].forEach((kind) => this.startStandin(kind, `${kind}.json`));
    configNames(join(this.folder, 'engines')).forEach((name) =>
      this.startStandin('engine', `engines/${name}.json`),
    );
    configNames(join(this.folder, 'services')).forEach((name) =>
      this.startStandin('service', `services/${name}.json`),
    );
    await sleep(500);
    configNames(join(this.folder, 'daemons')).forEach((name) => this.startDaemon(name));
    await this.until('daemons serve', async () => {
      const checks = [...this.daemons.values()].map(({ operators }) =>
        isReady(`${operators}/healthz`),
      );
      return (await Promise.all(checks)).every((ready) => ready);
    });
  }

  startDaemon(name: string): RunningDaemon {
    const file = join(this.folder, 'daemons', `${name}.json`);
    const { callers, operators, domain } = readJson(file);
    const daemon: RunningDaemon = {
      name,
      domain,
      callers: `http://${callers.address}`,
      operators: `http://${operators.address}`,
      process: ManagedProcess.start({
        name,
        args: [daemonScript, '--settings', file],
        log: join(this.folder, 'logs', `${name}.log`),
      }),
    };
    this.daemons.set(name, daemon);
    this.started.push(daemon.process);
    return daemon;
  }

  /** Proposes, signs off and rolls out a bundle file of the deployment. */
  async rollout(file: string): Promise<CliResult> {
    const [proposer, second] = this.operators;
    const path = (name: string) => join(this.folder, name);
    const stem = file.replace(/\.json$/, '');
    const proposed = await this.cli(
      ...['bundle', 'propose', path(file), '--as', proposer],
      ...['--key', path(`keys/${proposer}.key`), '--out', path(`${stem}.proposed.json`)],
    );
    if (proposed.code !== 0) return proposed;
    const signed = await this.cli(
      ...['bundle', 'sign', path(`${stem}.proposed.json`), '--as', second],
      ...['--key', path(`keys/${second}.key`), '--out', path(`${stem}.signed.json`)],
      ...this.access(),
    );
    if (signed.code !== 0) return signed;
    return this.cli('bundle', 'rollout', path(`${stem}.signed.json`), ...this.access());
  }

  /** Waits until every running daemon is ready, or only those of `names`. */
  async ready(names = [...this.daemons.keys()]): Promise<void> {
    await this.until(`${names.join(', ')} are ready`, async () => {
      const urls = names.flatMap((name) => this.daemons.get(name)?.operators ?? []);
      const checks = await Promise.all(urls.map((url) => isReady(`${url}/readyz`)));
      return checks.every((ready) => ready);
    });
  }

  /** Runs the operators' client. */
  async cli(...words: string[]): Promise<CliResult> {
    const lines: string[] = [];
    const take = (text: string) => {
      lines.push(text);
    };
    const code = await run(words, { out: take, err: take });
    return { code, text: lines.join('\n') };
  }

  /** Options that let the client reach a daemon, by default the first. */
  access(name = [...this.daemons.keys()][0]): string[] {
    const url = this.daemons.get(name)?.operators ?? '';
    return ['--url', url, '--token', operatorToken];
  }

  /** Waits until `condition` holds; fails with `what` after `limitMs`. */
  async until(what: string, condition: () => Promise<boolean>, limitMs = 20_000): Promise<void> {
    const end = Date.now() + limitMs;
    while (!(await condition())) {
      if (Date.now() > end) throw new Error(`not within ${limitMs} ms: ${what}`);
      await sleep(pollMs);
    }
  }

  /** Stops the daemons with SIGTERM; gives how each ended. */
  async stopDaemons(): Promise<ReadonlyMap<string, Exit>> {
    const exits = await Promise.all(
      [...this.daemons.values()].map(
        async ({ name, process }) => [name, await process.stop()] as const,
      ),
    );
    return new Map(exits);
  }

  /** Ends everything that still runs and removes the folder; fails if a daemon has ended by itself. */
  async close(): Promise<void> {
    const unexpected = this.started.flatMap((process) => process.unexpectedExit() ?? []);
    await Promise.all([...this.daemons.values()].map(({ process }) => process.kill()));
    await Promise.all(this.standins.map((standin) => standin.kill()));
    rmSync(this.folder, { recursive: true, force: true });
    if (unexpected.length > 0) throw new Error(unexpected.join('\n\n'));
  }

  private startStandin(kind: string, file: string): void {
    const name = file.replace(/\.json$/, '').replaceAll('/', '-');
    this.standins.push(
      ManagedProcess.start({
        name,
        args: [standinScript, kind, '--config', join(this.folder, file)],
        log: join(this.folder, 'logs', `${name}.log`),
      }),
    );
  }
}
