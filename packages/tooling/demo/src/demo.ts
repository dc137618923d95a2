import { join } from 'node:path';
import { CallerClient, type StreamedAnswer } from './caller';
import { Deployment } from './deployment';

/** What the demo asks of an example. */
interface Script {
  readonly model: string;
  readonly prompt: string;
  readonly key: string;
  readonly call: string;
  readonly booking: unknown;
}

const scripts: Readonly<Record<string, Script>> = {
  mtkvari: {
    model: 'lantern-brief',
    prompt: 'A paper lantern for the river market',
    key: 'stall-12-example-key',
    call: 'shipments/book',
    booking: { lanterns: 40, stall: 12 },
  },
  lustrewell: {
    model: 'quote',
    prompt: 'Two crystal washes in the ballroom',
    key: 'venue-7-example-key',
    call: 'crews/deposit',
    booking: { venue: 7, amount: 250 },
  },
};

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const check = (condition: boolean, what: string): void => {
  if (!condition) throw new Error(`not as expected: ${what}`);
};

const ms = (value: number): string => `${value.toFixed(0)} ms`;

const printChat = (name: string, answer: StreamedAnswer): void => {
  check(answer.status === 200 && answer.whole, `${name}: ${answer.status} ${answer.text}`);
  print(
    `${name}: first token after ${ms(answer.firstTokenMs)}, whole after ${ms(answer.totalMs)}: ${answer.text.slice(0, 40)}...`,
  );
};

const runScript = async (deployment: Deployment, script: Script): Promise<void> => {
  const rollout = await deployment.rollout('bundle.json');
  check(rollout.code === 0, `rollout: ${rollout.text}`);
  print(`rollout: ${rollout.text}`);
  await deployment.ready();
  const [daemon, ...others] = [...deployment.daemons.values()];
  const caller = CallerClient.create(daemon.callers, script.key);
  const cold = await caller.chat(script.model, script.prompt);
  printChat('cold request', cold);
  const warm = await caller.chat(script.model, script.prompt);
  printChat('warm request', warm);
  check(warm.text === cold.text, 'the same prompt gives the same answer');
  check(warm.firstTokenMs < cold.firstTokenMs, 'a warm request is faster than a cold one');
  const far = others.at(-1) ?? daemon;
  const elsewhere = CallerClient.create(far.callers, script.key);
  printChat(`request at ${far.name}`, await elsewhere.chat(script.model, script.prompt));
  const booking = await caller.call('POST', script.call, script.booking, 'demo-key-1');
  check(booking.status === 200 && !booking.replayed, `booking: ${booking.status} ${booking.text}`);
  print(`booking: ${booking.status} after ${ms(booking.totalMs)}: ${booking.text.slice(0, 60)}`);
  const repeat = await elsewhere.call('POST', script.call, script.booking, 'demo-key-1');
  check(repeat.replayed && repeat.text === booking.text, `repeat: ${repeat.status} ${repeat.text}`);
  print(`its repeat at ${far.name}: the recorded answer after ${ms(repeat.totalMs)}`);
  const status = await deployment.cli('status', ...deployment.access());
  check(status.code === 0, `status: ${status.text}`);
  print(status.text);
};

/** Runs an example as processes; gives the exit code. */
export const demo = async (example: string, examples: string): Promise<number> => {
  const script = scripts[example];
  if (script === undefined) {
    print(
      `there is no example ${JSON.stringify(example)}; known: ${Object.keys(scripts).join(', ')}`,
    );
    return 2;
  }
  const deployment = await Deployment.create(join(examples, example));
  try {
    await deployment.start();
    print(`${example}: ${deployment.daemons.size} daemons serve`);
    await runScript(deployment, script);
    const exits = await deployment.stopDaemons();
    exits.forEach(({ code, signal }, name) =>
      check(code === 0, `${name} ended with ${code ?? signal}`),
    );
    print('all daemons stopped without cutting a request');
    return 0;
  } catch (error) {
    print(`${example}: ${(error as Error).message}`);
    return 1;
  } finally {
    await deployment.close();
  }
};
