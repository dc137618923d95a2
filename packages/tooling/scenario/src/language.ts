/**
 * The language. A template is a line; `<name:kind>` stands for a value, `<kind>` for a value of
 * that name, and a part in brackets may be left out.
 */

/** Lines that describe the deployment; they come first. */
export const settingTemplates = [
  'seed <count>',
  'run <time>',
  'fencing <state:switch>',
  'domain <new> region <region:word> daemons <count>',
  'engine <new> in <domain> pool <pool:word> memory <bytes> [software <software:word>]',
  'service <new> in <domain> pool <pool:word>',
  'model <new> pool <pool:word> bytes <bytes> replicas <count>',
  'adapter <new> bytes <bytes> replicas <count>',
  'caller <new>',
  'operator <new>',
  'bundle <bundle:word> sets <model> replicas <count>',
  'checkpoint <model> at <engine> on <tier>',
  'fails without <protection>',
] as const;

/** What happens at a time. */
export const stepTemplates = [
  'cut <a:place> from <b:place>',
  'cut controller of <domain> from <b:place>',
  'heal <a:place> from <b:place>',
  'silence connections between <a:place> and <b:place>',
  'pause controller of <domain> <time>',
  'pause controller of <domain> <time> before next order',
  'pause daemon <daemon> <time>',
  'kill controller of <domain>',
  'kill daemon <daemon>',
  'kill engine <engine>',
  'restart daemon <daemon>',
  'restart engine <engine>',
  'stop daemon <daemon>',
  'engine <engine> dies in next load',
  'engine <engine> delays next order <time>',
  'engine <engine> loses answers of <count> orders',
  'store down',
  'store up',
  'store copied',
  'store restored from copy',
  'store latency <time>',
  'store watches silent',
  'store watches answer',
  'store loses answers of <count> writes',
  'weights slow <factor>',
  'host <endpoint> leaving',
  'endpoint <endpoint> takes <count> calls a second',
  'endpoint <endpoint> takes all calls',
  'prompts with <part:word> crash engines',
  'prompts with <part:word> are harmless',
  'late answers from <endpoint> <time>',
  'lost answers from <endpoint>',
  'crossed answers from <endpoint>',
  'whole answers from <endpoint>',
  'burst <count> requests for <model> at <place> [deadline <time>] [tokens <tokens:count>] [parts <parts:word>] [asking <question:word>] [by <caller>]',
  'book <service:pool> key <key:word> at <daemon> [amount <amount:word>] [deadline <time>]',
  'rollout bundle <bundle> by <a:operator> and <b:operator> at <daemon>',
] as const;

/** What must hold. */
export const expectationTemplates = [
  'replicas <model> <op> <count>',
  'engine memory within limits',
  'runs of <key:word> <op> <count>',
  'runs per key <op> <count>',
  'requests <outcome> <op> <count>',
  'rollouts <outcome:rolloutOutcome> <op> <count>',
  'answers whole',
  'answers of one software version',
  'refusals true',
  'refusals within <time>',
  'refusals before deadline',
  'requests end by deadline',
  'leaving endpoints get no new work',
  'calls within limits of endpoints',
  'prompts that crash engines are held back',
  'requests that crash engines are held back',
  'bundle versions rise',
  'bundle versions agree',
  'bundle <count> at <place>',
  'streams uncut by stops',
] as const;

/** Values with a fixed set of words. */
export const choices: Readonly<Record<string, readonly string[]>> = {
  switch: ['on', 'off'],
  op: ['<=', '>=', '='],
  tier: ['memory', 'disk'],
  outcome: ['answered', 'not_run', 'unknown', 'closed'],
  rolloutOutcome: ['done', 'conflict', 'refused', 'unknown'],
};

/** Kinds of values that are written as a number with a unit. */
export const units: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  time: { ms: 1, s: 1_000, m: 60_000 },
  bytes: { MB: 1e6, GB: 1e9 },
  factor: { x: 1 },
  count: { '': 1 },
};

export const examples: Readonly<Record<string, string>> = {
  time: 'a time such as 400ms, 2s or 1m',
  bytes: 'a size such as 300MB or 80GB',
  factor: 'a factor such as 5x',
  count: 'a whole number',
};
