#!/usr/bin/env node
const { readFileSync } = require('node:fs');
const { parseArgs } = require('node:util');
const {
  EngineStandin,
  HostsStandin,
  ServiceStandin,
  StoreStandin,
  WeightsStandin,
} = require('../dist');

const kinds = {
  store: StoreStandin,
  hosts: HostsStandin,
  weights: WeightsStandin,
  engine: EngineStandin,
  service: ServiceStandin,
};

const usage = `usage: standin.js <${Object.keys(kinds).join('|')}> [--config file.json]`;

/** Exit code for wrong arguments or a wrong configuration. */
const usageError = 2;

const start = async () => {
  const { values, positionals } = parseArgs({
    options: { config: { type: 'string' } },
    allowPositionals: true,
  });
  const [kind, ...rest] = positionals;
  if (!Object.keys(kinds).includes(kind) || rest.length > 0) throw new Error(usage);
  const config = values.config === undefined ? {} : JSON.parse(readFileSync(values.config, 'utf8'));
  const options = kind === 'engine' ? { isProcess: true } : undefined;
  const standin = kinds[kind].create(config, options);
  const address = await standin.listen();
  console.log(JSON.stringify({ kind, address }));
  // With the server closed nothing keeps the process running.
  process.once('SIGTERM', () => standin.close());
};

start().catch((error) => {
  console.error(error.message);
  process.exitCode = usageError;
});
