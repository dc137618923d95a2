import { benchPolicy, deployments } from './policy';

const seeds = (process.argv[2] ?? '1,2,3').split(',').map(Number);

if (seeds.some((seed) => !Number.isInteger(seed))) {
  process.stderr.write('usage: main.js [seed,seed,...]\n');
  process.exitCode = 2;
} else {
  deployments
    .flatMap((deployment) => seeds.map((seed) => benchPolicy({ ...deployment, seed })))
    .forEach((result) => process.stdout.write(`${JSON.stringify(result)}\n`));
}
