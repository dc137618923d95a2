import { parseItemKey } from '@currantdrift/core';
import { softwareVersionsIn, withoutMarks } from '@currantdrift/fakes';
import {
  type Arrival,
  CauseKind,
  limitViolations,
  repeatedCrashViolations,
} from '@currantdrift/soak';
import type { History, RequestRecord, VersionSample } from './history';
import type { expectationTemplates } from './language';
import { numberOf, type Statement, wordOf } from './scenario';

/** Something that must not have happened, with its time in ms since the epoch. */
export interface Violation {
  readonly at: number;
  readonly message: string;
}

/** A quantity over time; it changes only at `times`. */
interface Quantity {
  readonly kind: 'quantity';
  readonly times: readonly number[];
  readonly valueAt: (at: number) => number;
}

interface Rule {
  readonly kind: 'rule';
  readonly violations: readonly Violation[];
}

/** What is known besides the history: when the run ended, and which daemons are at a place. */
export interface Seen {
  readonly history: History;
  readonly end: number;
  readonly daemonsAt: (place: string) => readonly string[];
}

type Check = (seen: Seen, statement: Statement) => Quantity | Rule;

/** Time after its deadline within which a request has its final answer, in ms. */
const endBoundMs = 250;

/** Time after which an endpoint that is leaving gets no new work in its domain, in ms (G7). */
const leavingBoundMs = 2_000;

/** Time after an endpoint first states a limit from which it must be kept, in ms. */
const limitSettleMs = 3_000;

/** Time after the crash that decides within which all daemons hold such requests back, in ms. */
const crashSettleMs = 3_000;

/** Cost of rounding and of the steps between the caller and the daemon, in ms. */
const refusalBoundMs = 50;

const count = (times: readonly number[]): Quantity => ({
  kind: 'quantity',
  times,
  valueAt: (at) => times.filter((time) => time <= at).length,
});

const rule = (violations: readonly Violation[]): Rule => ({ kind: 'rule', violations });

const heldBy = (history: History, at: number): readonly string[] => {
  const latest = new Map<string, readonly string[]>();
  history.engines
    .filter((sample) => sample.at <= at)
    .forEach(({ engine, items }) => latest.set(engine, items));
  return [...latest.values()].flat();
};

const replicas: Check = ({ history }, statement) => {
  const model = wordOf(statement, 'model');
  return {
    kind: 'quantity',
    times: history.engines.map(({ at }) => at),
    valueAt: (at) =>
      heldBy(history, at).filter((item) => parseItemKey(item)?.name === model).length,
  };
};

const memory: Check = ({ history }) =>
  rule(
    history.engines
      .filter(({ usedBytes, memoryBytes }) => usedBytes > memoryBytes)
      .map(({ at, engine, usedBytes, memoryBytes, items }) => ({
        at,
        message: `${engine} holds ${usedBytes} of ${memoryBytes} bytes: ${items.join(', ')}`,
      })),
  );

const runsOfKey: Check = ({ history }, statement) => {
  const key = wordOf(statement, 'key');
  return count(history.runs.filter((run) => run.idempotencyKey === key).map(({ at }) => at));
};

const runsPerKey: Check = ({ history }) => {
  const runs = history.runs.filter(({ idempotencyKey }) => idempotencyKey !== undefined);
  const most = (at: number): number => {
    const counts = new Map<string, number>();
    runs
      .filter((run) => run.at <= at)
      .forEach(({ idempotencyKey: key = '' }) => counts.set(key, (counts.get(key) ?? 0) + 1));
    return Math.max(0, ...counts.values());
  };
  return { kind: 'quantity', times: runs.map(({ at }) => at), valueAt: most };
};

const ended = ({ history }: Seen): readonly (RequestRecord & { readonly endedAt: number })[] =>
  history.requests.flatMap((record) =>
    record.endedAt === undefined ? [] : [{ ...record, endedAt: record.endedAt }],
  );

const requests: Check = (seen, statement) =>
  count(
    ended(seen)
      .filter(({ outcome }) => outcome === wordOf(statement, 'outcome'))
      .map(({ endedAt }) => endedAt),
  );

const rollouts: Check = ({ history }, statement) =>
  count(
    history.rollouts
      .filter(({ kind }) => kind === wordOf(statement, 'outcome'))
      .map(({ at }) => at),
  );

const answersWhole: Check = (seen) =>
  rule(
    ended(seen).flatMap(({ id, daemon, outcome, received, truth, endedAt }) => {
      const text = withoutMarks(received);
      const isRight = outcome === 'answered' ? text === truth : truth.startsWith(text);
      const message = `${id} at ${daemon}, ${outcome}: got ${JSON.stringify(received)}`;
      return isRight ? [] : [{ at: endedAt, message }];
    }),
  );

const answersOfOneVersion: Check = (seen) =>
  rule(
    ended(seen)
      .filter(({ received }) => softwareVersionsIn(received).size > 1)
      .map(({ id, daemon, received, endedAt }) => ({
        at: endedAt,
        message: `${id} at ${daemon}: tokens of ${[...softwareVersionsIn(received)].join(' and ')}`,
      })),
  );

const refusalsTrue: Check = (seen) =>
  rule(
    ended(seen)
      .filter(({ outcome }) => outcome === 'not_run')
      .flatMap(({ id, daemon, endedAt, message }) => {
        const run = seen.history.runs.find(({ requestId }) => requestId === id);
        if (run === undefined) return [];
        const text = `${id} at ${daemon} was refused as not run (${message}), but ran at ${run.endpoint}`;
        return [{ at: endedAt, message: text }];
      }),
  );

const refusalsWithin: Check = (seen, statement) => {
  const limit = numberOf(statement, 'time') + refusalBoundMs;
  return rule(
    ended(seen)
      .filter(({ outcome }) => outcome === 'not_run' || outcome === 'unknown')
      .filter(({ startedAt, endedAt }) => endedAt - startedAt > limit)
      .map(({ id, daemon, startedAt, endedAt }) => ({
        at: endedAt,
        message: `${id} at ${daemon} was refused after ${endedAt - startedAt} ms`,
      })),
  );
};

/** A request that is given up on is never held until its deadline. */
const refusalsBeforeDeadline: Check = (seen) =>
  rule(
    ended(seen)
      .filter(({ outcome }) => outcome === 'not_run' || outcome === 'unknown')
      .filter(({ endedAt, deadline }) => endedAt >= deadline)
      .map(({ id, daemon, endedAt, message }) => ({
        at: endedAt,
        message: `${id} at ${daemon} was held until its deadline: ${message}`,
      })),
  );

/** Time by which a request must have ended; a daemon that cannot act has until it can again. */
const limitOf = ({ history }: Seen, { daemon, startedAt, deadline }: RequestRecord): number =>
  history.outages
    .filter((outage) => outage.daemon === daemon && outage.until >= startedAt)
    .sort((a, b) => a.from - b.from)
    .reduce(
      (limit, { from, until }) => (from <= limit ? Math.max(limit, until + endBoundMs) : limit),
      deadline + endBoundMs,
    );

const endByDeadline: Check = (seen) =>
  rule(
    seen.history.requests
      .map((record) => ({ record, limit: limitOf(seen, record) }))
      .filter(({ record, limit }) => (record.endedAt ?? Infinity) > limit && limit <= seen.end)
      .map(({ record: { id, daemon, endedAt, deadline }, limit }) => ({
        at: limit,
        message:
          endedAt === undefined
            ? `${id} at ${daemon} has no answer`
            : `${id} at ${daemon} ended ${endedAt - deadline} ms after its deadline`,
      })),
  );

const noWorkAtLeaving: Check = ({ history }) => {
  const late = (endpoint: string, at: number) =>
    at > (history.leaving.get(endpoint) ?? Infinity) + leavingBoundMs;
  const runs = history.runs
    .filter(({ endpoint, at }) => late(endpoint, at))
    .map(({ at, endpoint, requestId }) => ({
      at,
      message: `${endpoint} was leaving and got ${requestId}`,
    }));
  const loads = history.engines.flatMap((sample, index) => {
    const before = history.engines
      .slice(0, index)
      .findLast(({ engine }) => engine === sample.engine);
    const fresh = sample.items.filter((item) => !before?.items.includes(item));
    return late(sample.engine, sample.at) && fresh.length > 0
      ? [{ at: sample.at, message: `${sample.engine} was leaving and got ${fresh.join(', ')}` }]
      : [];
  });
  return rule([...runs, ...loads]);
};

/** Calls to an endpoint of all daemons together, against the limit that it states. */
const callsWithinLimits: Check = ({ history }) => {
  const isExcused = ({ process, at }: Arrival) =>
    history.outages.some(
      ({ daemon, from, until }) => daemon === process && from <= at && until >= at - limitSettleMs,
    );
  const endpoints = [...new Set(history.limits.map(({ endpoint }) => endpoint))];
  return rule(
    endpoints.flatMap((endpoint) => {
      const limits = history.limits.filter((limit) => limit.endpoint === endpoint);
      const arrivals = history.arrivals.filter((arrival) => arrival.endpoint === endpoint);
      return limitViolations(limits, arrivals, limitSettleMs, isExcused).map(({ at, text }) => ({
        at,
        message: text,
      }));
    }),
  );
};

/** Requests that crash engines by a cause of this kind, which must soon reach none. */
const crashingHeldBack =
  (kind: CauseKind, causesOf: (request: RequestRecord) => readonly string[]): Check =>
  ({ history }) => {
    const requestById = new Map(history.requests.map((request) => [request.id, request]));
    const crashes = history.crashes.filter((crash) => crash.kind === kind);
    const crashing = new Set(crashes.map(({ cause }) => cause));
    const arrivals = history.runs.flatMap(({ at, endpoint, requestId }) => {
      const request = requestById.get(requestId);
      const causes = request === undefined ? [] : causesOf(request);
      return causes
        .filter((cause) => crashing.has(cause))
        .map((cause) => ({ at, endpoint, cause }));
    });
    return rule(
      repeatedCrashViolations(crashes, arrivals, crashSettleMs).map(({ at, text }) => ({
        at,
        message: text,
      })),
    );
  };

const versionsRise: Check = ({ history }) =>
  rule(
    history.versions.flatMap((sample, index) => {
      const before = history.versions
        .slice(0, index)
        .findLast(({ daemon, process }) => daemon === sample.daemon && process === sample.process);
      if (before === undefined || before.version < sample.version) return [];
      const message = `${sample.daemon} went from bundle ${before.version} ${before.label} to ${sample.version} ${sample.label}`;
      return [{ at: sample.at, message }];
    }),
  );

const versionsAgree: Check = ({ history }) =>
  rule(
    history.versions.flatMap((sample) => {
      const other = history.versions.find(
        ({ version, label }) => version === sample.version && label !== sample.label,
      );
      if (other === undefined || other.at > sample.at) return [];
      const message = `bundle ${sample.version} is ${sample.label} at ${sample.daemon} and ${other.label} at ${other.daemon}`;
      return [{ at: sample.at, message }];
    }),
  );

/** Number of daemons at a place that can act and do not serve the version. */
const bundleAt: Check = ({ history, daemonsAt }, statement) => {
  const wanted = numberOf(statement, 'count');
  const acts = (daemon: string, at: number) =>
    !history.outages.some((one) => one.daemon === daemon && one.from <= at && at <= one.until);
  const seenAt = (daemon: string, at: number): VersionSample | undefined =>
    history.versions.findLast((sample) => sample.daemon === daemon && sample.at <= at);
  return {
    kind: 'quantity',
    times: history.versions.map(({ at }) => at),
    valueAt: (at) =>
      daemonsAt(wordOf(statement, 'place'))
        .filter((daemon) => acts(daemon, at))
        .filter((daemon) => seenAt(daemon, at)?.version !== wanted).length,
  };
};

const uncutByStops: Check = (seen) =>
  rule(
    seen.history.stops.flatMap(({ daemon, at }) =>
      seen.history.requests
        .filter((record) => record.daemon === daemon && record.startedAt <= at)
        .filter(({ endedAt }) => (endedAt ?? Infinity) >= at)
        .filter(({ outcome }) => outcome !== 'answered')
        .map(({ id, outcome, message, endedAt }) => ({
          at: endedAt ?? seen.end,
          message: `${id} was open at ${daemon} when it was stopped: ${outcome ?? 'open'} ${message}`,
        })),
    ),
  );

const checks: Readonly<Record<(typeof expectationTemplates)[number], Check>> = {
  'replicas <model> <op> <count>': replicas,
  'engine memory within limits': memory,
  'runs of <key:word> <op> <count>': runsOfKey,
  'runs per key <op> <count>': runsPerKey,
  'requests <outcome> <op> <count>': requests,
  'rollouts <outcome:rolloutOutcome> <op> <count>': rollouts,
  'answers whole': answersWhole,
  'answers of one software version': answersOfOneVersion,
  'refusals true': refusalsTrue,
  'refusals within <time>': refusalsWithin,
  'refusals before deadline': refusalsBeforeDeadline,
  'requests end by deadline': endByDeadline,
  'leaving endpoints get no new work': noWorkAtLeaving,
  'calls within limits of endpoints': callsWithinLimits,
  'prompts that crash engines are held back': crashingHeldBack(
    CauseKind.part,
    ({ parts }) => parts,
  ),
  'requests that crash engines are held back': crashingHeldBack(
    CauseKind.request,
    ({ question }) => (question === undefined ? [] : [question]),
  ),
  'bundle versions rise': versionsRise,
  'bundle versions agree': versionsAgree,
  'bundle <count> at <place>': bundleAt,
  'streams uncut by stops': uncutByStops,
};

/** Evaluates what an expectation is about. */
export const evaluate = (seen: Seen, statement: Statement): Quantity | Rule =>
  (checks as Readonly<Record<string, Check>>)[statement.template](seen, statement);
