import { EndpointRooms, RoomState } from '@currantdrift/routing';

const engine = { id: 'e1', bornAt: 1, slots: 12, cacheTokens: 10_000 };

const need = (tokens: number, change = {}) => ({
  tokens,
  promptTokens: 0,
  maxUnreadTokens: Infinity,
  queueShare: 0.25,
  ...change,
});

const roomsOf = (members: number) => EndpointRooms.create(() => members);

// Guards against requests that make an engine reject or evict others from its memory.
test('counts own tokens exactly, and those of others by their number and the own mean', () => {
  const rooms = roomsOf(1);
  const holds = [1_000, 1_000].map((tokens) => rooms.hold(engine, need(tokens)));
  holds[0].observeLoad(7, 0);
  expect(rooms.state(engine, need(3_000), 1)).toBe(RoomState.free);
  expect(rooms.state(engine, need(3_001), 1)).toBe(RoomState.memoryFull);
  holds.forEach((hold) => hold.release());
  expect(rooms.state(engine, need(5_000), 1)).toBe(RoomState.free);
  expect(EndpointRooms.fits(engine, need(10_001))).toBe(false);
});

// Guards against many members that rely on old reports, and against idle endpoints without reports.
test('relies on its share of the slots once the report is old', () => {
  const rooms = roomsOf(6);
  rooms.observeFleetLoads([{ endpoint: 'e1', inFlight: 15 }], 0);
  expect(rooms.state(engine, need(10), 999)).toBe(RoomState.slotsFull);
  expect(rooms.state(engine, need(10), 1_000)).toBe(RoomState.free);
  [1, 2].forEach(() => rooms.hold(engine, need(10)));
  expect(rooms.state(engine, need(10), 1_000)).toBe(RoomState.unknown);
});

// Guards against a restarted endpoint that inherits the load of its predecessor.
test('a restarted endpoint starts empty, and late releases of its predecessor do not count', () => {
  const rooms = roomsOf(1);
  const holds = Array.from({ length: 15 }, () => rooms.hold(engine, need(10)));
  expect(rooms.state(engine, need(10), 0)).toBe(RoomState.slotsFull);
  const restarted = { ...engine, bornAt: 2 };
  rooms.hold(restarted, need(9_990));
  holds.forEach((hold) => hold.release());
  expect(rooms.state(restarted, need(11), 0)).toBe(RoomState.memoryFull);
});

// Guards against streams that pause while their engine processes many prompts.
test('an endpoint with unread prompts gets no further one beyond the limit', () => {
  const rooms = roomsOf(1);
  const hold = rooms.hold(engine, need(600, { promptTokens: 500 }));
  const next = need(600, { promptTokens: 600, maxUnreadTokens: 1_000 });
  expect(rooms.state(engine, next, 0)).toBe(RoomState.prefillFull);
  hold.markPromptRead();
  expect(rooms.state(engine, next, 0)).toBe(RoomState.free);
});
