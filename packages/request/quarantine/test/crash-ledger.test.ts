import { SeededRandom } from '@currantdrift/core';
import { CrashLedger, type Suspect } from '../src';

const service = 's';
const minute = 60_000;

const suspect = (prompt: string, parts: string, hasBegun = true): Suspect => ({
  prompt,
  parts: parts.split(' '),
  hasBegun,
  hasEvent: false,
});

const create = () => CrashLedger.create(SeededRandom.create(1));

const crash = (ledger: CrashLedger, endpoint: string, at: number, ...suspects: Suspect[]) =>
  ledger.recordCrash({ service, endpoint, bornAt: 1, suspects }, at);

const isHeld = (ledger: CrashLedger, parts: string, at: number) =>
  ledger.find(service, parts.split(' '), at) !== undefined;

const held = (ledger: CrashLedger, at: number) =>
  ledger.active(at).map(({ parts }) => parts.join(' '));

test('a part at two crashes in two prompts is held back', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a d'));
  expect(held(ledger, 0)).toEqual([]);
  crash(ledger, 'e2', 100, suspect('p2', 'b d'));
  expect(held(ledger, 100)).toEqual(['d']);
  expect(ledger.find('other', ['d'], 100)).toBeUndefined();
});

// Guards against blaming the prompt of one client that repeats its request.
test('one prompt is not enough, however often it is repeated', () => {
  const ledger = create();
  ['e1', 'e2', 'e3'].forEach((endpoint, index) =>
    crash(ledger, endpoint, index, suspect('p1', 'a d')),
  );
  expect(held(ledger, 10)).toEqual([]);
});

const request = (name: string, hasBegun = true): Suspect =>
  suspect(name, `request:${name}`, hasBegun);

test('a request at two crashes is held back by itself', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a d request:p1'));
  expect(held(ledger, 0)).toEqual([]);
  crash(ledger, 'e2', 100, suspect('p1', 'a d request:p1'));
  expect(held(ledger, 100)).toEqual(['request:p1']);
  expect(isHeld(ledger, 'a d request:p2', 100)).toBe(false);
});

// Guards against a sound request that is refused because its repeats met the next engine to crash.
test('a request at two crashes that others can explain is served', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, request('x'), request('s'));
  crash(ledger, 'e2', 10, request('y'), request('s'));
  crash(ledger, 'e3', 20, request('x'));
  crash(ledger, 'e4', 30, request('y'));
  expect(held(ledger, 30)).toEqual([]);
  crash(ledger, 'e5', 40, request('x'));
  crash(ledger, 'e6', 50, request('y'));
  expect(held(ledger, 50)).toEqual(['request:x', 'request:y']);
});

test('a request that was only where another one was more often is served', () => {
  const ledger = create();
  ['e1', 'e2'].forEach((endpoint, at) => crash(ledger, endpoint, at, request('x', false)));
  ['e3', 'e4', 'e5'].forEach((endpoint, at) =>
    crash(ledger, endpoint, 10 + at, request('x', false), request('s', false)),
  );
  expect(held(ledger, 20)).toEqual(['request:x']);
});

// Guards against a crashing part that hides a crashing request with it, and the other way round.
test('a crashing part and a crashing request that contains it are both found', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a d request:p1'));
  crash(ledger, 'e2', 10, suspect('p1', 'a d request:p1'));
  ledger.recordCleared({ service, parts: ['a'] }, 15);
  crash(ledger, 'e3', 20, suspect('p2', 'a d request:p2'));
  expect(held(ledger, 20)).toEqual(['request:p1', 'd']);
});

// Guards against a request that is held back for ever though engines run it by now.
test('an answer ends the quarantine of its request', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, request('x'));
  crash(ledger, 'e2', 10, request('x'));
  ledger.recordCleared({ service, parts: ['request:x'] }, 20 * minute);
  expect(held(ledger, 20 * minute)).toEqual([]);
  crash(ledger, 'e3', 30 * minute, request('x'));
  expect(held(ledger, 30 * minute)).toEqual([]);
});

// Guards against counting a crash once for each process that reports it.
test('reports of several processes on one crash count once', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a d'));
  crash(ledger, 'e1', 5, suspect('p2', 'b d'));
  expect(held(ledger, 10)).toEqual([]);
});

// Guards against shared first parts that are refused with the crashing one.
test('parts that occur together are held back together until an answer clears one', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a b d'));
  crash(ledger, 'e2', 100, suspect('p2', 'a b d'));
  expect(held(ledger, 100)).toEqual(['a b d']);
  expect([isHeld(ledger, 'a b', 100), isHeld(ledger, 'a b d', 100)]).toEqual([false, true]);
  ledger.recordCleared({ service, parts: ['a', 'b'] }, 200);
  expect(held(ledger, 200)).toEqual(['d']);
});

test('parts that an answer cleared shortly before are not blamed', () => {
  const ledger = create();
  ledger.recordCleared({ service, parts: ['a'] }, 0);
  crash(ledger, 'e1', 1_000, suspect('p1', 'a b'));
  crash(ledger, 'e2', 2_000, suspect('p2', 'a c'));
  expect(held(ledger, 2_000)).toEqual([]);
});

// Guards against a part that was sound until a new version of the engines.
test('an answer of long ago does not clear a part', () => {
  const ledger = create();
  ledger.recordCleared({ service, parts: ['d'] }, 0);
  crash(ledger, 'e1', minute, suspect('p1', 'a d'));
  crash(ledger, 'e2', minute + 500, suspect('p2', 'b d'));
  expect(held(ledger, minute + 500)).toEqual(['d']);
});

test('two crashing parts at once are both found', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'a d'));
  crash(ledger, 'e2', 10, suspect('p2', 'a x'));
  ledger.recordCleared({ service, parts: ['a'] }, 20);
  crash(ledger, 'e3', 30, suspect('p3', 'b d'));
  crash(ledger, 'e4', 40, suspect('p4', 'c x'));
  expect(held(ledger, 50)).toEqual(['d', 'x']);
});

// Guards against blaming what waited at an engine while another request was answered.
test('requests that an engine had not begun count only if it had begun none', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'd'), suspect('w1', 'w', false));
  crash(ledger, 'e2', 10, suspect('p1', 'd'), suspect('w2', 'w', false));
  expect(held(ledger, 10)).toEqual([]);
  crash(ledger, 'e3', 20, suspect('w3', 'w', false));
  crash(ledger, 'e4', 30, suspect('w4', 'w', false));
  expect(held(ledger, 30)).toEqual([]);
  crash(ledger, 'e5', 40, suspect('w5', 'w', false));
  expect(held(ledger, 40)).toEqual(['w']);
});

// Guards against sound streams that have just begun at several crashes and are refused for long.
test('requests with an event count only if no answer had begun without one', () => {
  const ledger = create();
  const stream = (prompt: string) => ({ ...suspect(prompt, 'b'), hasEvent: true });
  crash(ledger, 'e1', 0, suspect('p1', 'a d'), stream('s1'));
  crash(ledger, 'e2', 10, suspect('p2', 'c d'), stream('s2'));
  crash(ledger, 'e3', 20, suspect('p3', 'e d'), stream('s3'));
  expect(held(ledger, 20)).toEqual(['d']);
  crash(ledger, 'e4', 30, stream('s4'));
  crash(ledger, 'e5', 40, stream('s5'));
  expect(held(ledger, 40)).toEqual(['d', 'b']);
});

// Guards against the end of all engines at once, by power or a release, as a reason to refuse prompts.
test('engines that end together blame no popular prompt', () => {
  const ledger = create();
  ledger.recordCleared({ service, parts: ['a', 'b', 'c'] }, 0);
  ['e1', 'e2', 'e3', 'e4'].forEach((endpoint, index) =>
    crash(ledger, endpoint, 3_000 + index, suspect(`p${index}`, 'a b c')),
  );
  expect(held(ledger, 3_010)).toEqual([]);
});

// Guards against the whole fleet trying a prompt again at the same time.
test('a quarantine lapses after a random time, and one more crash renews it', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'd'));
  crash(ledger, 'e2', 0, suspect('p2', 'd'));
  expect(isHeld(ledger, 'd', 10 * minute)).toBe(true);
  expect(isHeld(ledger, 'd', 20 * minute)).toBe(false);
  crash(ledger, 'e3', 20 * minute, suspect('p3', 'd'));
  expect(isHeld(ledger, 'd', 21 * minute)).toBe(true);
});

test('an answer after the quarantine has lapsed ends it', () => {
  const ledger = create();
  crash(ledger, 'e1', 0, suspect('p1', 'd'));
  crash(ledger, 'e2', 0, suspect('p2', 'd'));
  ledger.recordCleared({ service, parts: ['d'] }, 20 * minute);
  crash(ledger, 'e3', 30 * minute, suspect('p3', 'd'));
  expect(held(ledger, 30 * minute)).toEqual([]);
});

test('a quarantine of another process is adopted unless its parts are known to be sound', () => {
  const ledger = create();
  ledger.recordCleared({ service, parts: ['a'] }, 0);
  ledger.adopt({ service, parts: ['d'], crashes: ['e1@1'] }, 0);
  ledger.adopt({ service, parts: ['a', 'x'], crashes: ['e1@1'] }, 0);
  expect(held(ledger, 0)).toEqual(['d']);
});

// Guards against tables that clients fill with parts of their own.
test('the tables are bounded', () => {
  const ledger = CrashLedger.create(SeededRandom.create(1), { maxCrashes: 8, maxQuarantines: 2 });
  Array.from({ length: 40 }, (_, index) => index).forEach((index) =>
    ['x', 'y'].forEach((prompt) =>
      crash(ledger, `e${index}${prompt}`, index, suspect(`${prompt}${index}`, `d${index}`)),
    ),
  );
  expect(held(ledger, 40)).toEqual(['d38', 'd39']);
});
