/* eslint-disable n/no-process-exit -- open sockets must not hold up the next group */
const { spawnSync } = require('node:child_process');
const { existsSync, mkdirSync, readFileSync, writeFileSync } = require('node:fs');
const { dirname, join } = require('node:path');
const { measureAdmission, measureRelay, slopeGroups } = require('../dist');

const resultFile = join(__dirname, '../results/slopes.json');

const readSlopes = () =>
  existsSync(resultFile) ? JSON.parse(readFileSync(resultFile, 'utf8')) : [];

const writeSlopes = (measured) => {
  const names = new Set(measured.map(({ name }) => name));
  const kept = readSlopes().filter(({ name }) => !names.has(name));
  const all = [...kept, ...measured].sort((a, b) => (a.name < b.name ? -1 : 1));
  mkdirSync(dirname(resultFile), { recursive: true });
  writeFileSync(resultFile, `${JSON.stringify(all, null, 2)}\n`);
};

/** Measures one group in this process; exits because sockets may linger. */
const measureGroup = async (group) => {
  const measured = await slopeGroups[group]();
  writeSlopes(measured);
  measured.forEach(({ name, unit, fit }) =>
    console.log(`${name}: ${fit.slope} x + ${fit.intercept} ${unit}, residual ${fit.residual}`),
  );
  process.exit(0);
};

/** Each group runs in a process of its own, so that none measures the memory of another. */
const measureSlopes = (groups) => {
  const unknown = groups.filter((group) => slopeGroups[group] === undefined);
  if (unknown.length > 0) {
    const known = Object.keys(slopeGroups).join(', ');
    console.error(`there is no group of slopes "${unknown[0]}"; known: ${known}`);
    process.exitCode = 2;
    return;
  }
  (groups.length > 0 ? groups : Object.keys(slopeGroups)).forEach((group) => {
    const args = ['--expose-gc', __filename, '--group', group];
    const { status } = spawnSync(process.execPath, args, { stdio: 'inherit' });
    if (status !== 0) process.exitCode = 1;
  });
};

const main = async ([name, ...rest]) => {
  if (name === '--group') await measureGroup(rest[0]);
  else if (name === 'slopes') measureSlopes(rest);
  else if (name === undefined || name === 'relay') console.table(await measureRelay());
  else if (name === 'admission') console.table([await measureAdmission()]);
  else {
    console.error(`there is no benchmark "${name}"; known: relay, admission, slopes [group...]`);
    process.exitCode = 2;
  }
};

main(process.argv.slice(2)).catch((error) => {
  console.error(error);
  process.exit(1);
});
