/* eslint-disable import-x/extensions -- Node needs the extensions of modules */
// A gateway as the deploy file starts it, with the settings of a small deployment.
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { freePort } from './ports.mjs';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The command of the deploy file, split at spaces. */
const command = () => {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/mu.exec(text)[1].split(' ');
};

export class Gateway {
  constructor(name, zone, host, deployment) {
    Object.assign(this, { name, zone, host, deployment });
    this.exits = [];
  }

  async prepare() {
    const { host, name, zone, deployment } = this;
    const [front, ready, control, internal] = [
      await freePort(host),
      await freePort(host),
      await freePort(host),
      await freePort(host),
    ];
    const storePort = await freePort(host);
    await deployment.store.listen(host, storePort, name);
    Object.assign(this, { front, ready });
    this.settings = join(deployment.folder, `${name}.conf`);
    const lines = [
      `node=${name}`,
      'role=gateway',
      'machineClass=front',
      'serves=front,control',
      `ip=${host}`,
      `zone=${zone}`,
      'region=tbilisi',
      ...deployment.zones.map((one) => `zones.${one}=tbilisi`),
      `listen.front=${host}:${front}`,
      `listen.ready=${host}:${ready}`,
      `listen.control=${host}:${control}`,
      `internalPorts=${internal},${internal + 15}`,
      'bootstrap=false',
      'limits.cpuShare=0.675',
      'limits.cores=1',
      'limits.memoryMb=350',
      'limits.maxFds=4200',
      'bounds.contactMs=3000',
      'bounds.drainMs=2500',
      'bounds.graceS=8',
      'bounds.lossSlackMs=200',
      'bounds.configMs=2500',
      'bounds.retryBudgetRatio=0.2',
      'bounds.budgetWindowS=10',
      'bounds.retrySlack=52',
      'bounds.leaseMs=3000',
      `provider.addr=${host}:${storePort}`,
      'provider.form=kv',
      '',
    ];
    writeFileSync(this.settings, lines.join('\n'));
  }

  start() {
    const [program, ...args] = command();
    const { PATH, HOME, LANG } = process.env;
    const log = openSync(join(this.deployment.folder, `${this.name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, CURRANTDRIFT_BOOT: this.settings },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    this.deployment.journal.note('start', { machine: this.name });
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exits.push({ at: this.deployment.journal.now(), code, signal });
        this.deployment.journal.note('exit', { machine: this.name, code, signal });
        resolve();
      });
    });
  }

  signal(name) {
    this.deployment.journal.note('signal', { machine: this.name, signal: name });
    this.child.kill(name);
  }

  async isReady() {
    try {
      const signal = AbortSignal.timeout(1_000);
      return (await fetch(`http://${this.host}:${this.ready}/api/ready`, { signal })).ok;
    } catch {
      return false;
    }
  }
}
