import { AdmissionQueue } from '@currantdrift/admission';
import { VirtualClock } from '@currantdrift/fakes';

// Guards against refusing part of an initial burst that could be served. Answers that start
// together end together, so the first of them says little about the rate.
test('a burst of long answers that fits its deadline is served completely', async () => {
  const clock = VirtualClock.create();
  const places = 32;
  const answerMs = 3_200;
  let free = places;
  const take = () => {
    if (free === 0) return undefined;
    free -= 1;
    return true;
  };
  const queue = AdmissionQueue.create<true>(take, { maxWaiting: 1000, maxPerCaller: 1000 });
  const serve = async (index: number): Promise<string> => {
    const request = { caller: 'stall-12', weight: 1, priority: 5, deadline: 120_000 };
    const granted = await queue.enqueue(request, clock.now()).result;
    if (granted.isErr()) return granted.error.kind;
    await clock.sleep(answerMs + index);
    free += 1;
    granted.value.finish(true, clock.now());
    return 'served';
  };
  const ends = Promise.all(Array.from({ length: 150 }, (_, index) => serve(index)));
  const counts = new Map<string, number>();
  (await clock.settle(ends)).forEach((end) => counts.set(end, (counts.get(end) ?? 0) + 1));
  expect(Object.fromEntries(counts)).toEqual({ served: 150 });
});
