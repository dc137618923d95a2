import { runHistory } from './histories';
test('explore', async () => {
  const from = Number(process.env.FROM ?? 1);
  const to = Number(process.env.TO ?? 20);
  const prot = JSON.parse(process.env.PROT ?? '{}');
  for (let seed = from; seed <= to; seed += 1) {
    const t = Date.now();
    const h = await runHistory(seed, prot);
    if (h.seen.length || h.stuck.length || seed % 10 === 0)
      process.stdout.write(
        JSON.stringify({
          seed,
          ms: Date.now() - t,
          loads: h.loads,
          epoch: h.epoch,
          seen: h.seen.slice(0, 3),
          stuck: h.stuck,
        }) + '\n',
      );
  }
}, 600000);
