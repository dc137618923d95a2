import { type Message, NoopTelemetry, type Peers } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { EndpointLimits } from '@currantdrift/fleet';
import { defaultRateLimitSettings, issuerStartMs } from '@currantdrift/rate-limit';
import { ok } from 'neverthrow';
import { permitRequestSchema } from '../src/connection/peer-messages';
import { PermitService } from '../src/process/permit-service';
import { controllerKey, encodeMember, type Member, Members } from '../src/version/members';

const memberOf = (host: string): Member => ({
  host,
  address: host,
  domain: 'north',
  processors: 1,
});

/** Two processes; the first is the controller. `mayIssue` is false while its lease is in doubt. */
const create = () => {
  const clock = VirtualClock.create();
  const state = { mayIssue: true };
  const services = new Map<string, PermitService>();
  const limitsOf = new Map<string, EndpointLimits>();
  ['h1', 'h2'].forEach((host) => {
    const members = Members.create(NoopTelemetry.create(), clock);
    const value = encodeMember(memberOf('h1'));
    members.onListing([{ key: controllerKey, value, revision: 7 }]);
    const limits = EndpointLimits.create(() => {});
    const request = async (address: string, message: Message) =>
      ok(
        (services.get(address) as PermitService).respond(permitRequestSchema.parse(message), host),
      );
    const service = PermitService.create({
      clock,
      peers: { request } as unknown as Peers,
      self: memberOf(host),
      members,
      limits,
      settings: defaultRateLimitSettings,
      onLimits: (reports) => limits.merge(reports, clock.now()),
      mayIssue: () => state.mayIssue,
    });
    services.set(host, service);
    limitsOf.set(host, limits);
  });
  const serviceAt = (host: string) => services.get(host) as PermitService;
  const limitsAt = (host: string) => limitsOf.get(host) as EndpointLimits;
  return { clock, state, serviceAt, limitsAt };
};

const e1 = { id: 'e1', bornAt: 1 };
const candidate = { endpoint: 'e1', bornAt: 1, ratePerS: 1 };

// Guards against a limit that each process counts for itself.
test('the controller issues the permits of all processes from one schedule', async () => {
  const { clock, serviceAt, limitsAt } = create();
  serviceAt('h1').beginTerm({ fence: 7, isFirst: true });
  limitsAt('h2').observe(e1, 1, 0, 1);
  expect(await serviceAt('h2').ask([candidate], 0)).toMatchObject({ kind: 'granted' });
  expect(await serviceAt('h1').ask([candidate], 0)).toMatchObject({ kind: 'refused' });
  expect(limitsAt('h1').rate(e1)).toBe(1);
  await clock.advance(1_300);
  expect(await serviceAt('h1').ask([candidate], 0)).toMatchObject({ kind: 'granted' });
});

// Guards against a new controller that adds its permits to those of its predecessor.
test('a controller issues nothing until the permits of its predecessor have expired', async () => {
  const { clock, serviceAt } = create();
  serviceAt('h1').beginTerm({ fence: 7, isFirst: false });
  expect(await serviceAt('h1').ask([candidate], 0)).toBeUndefined();
  await clock.advance(issuerStartMs(defaultRateLimitSettings));
  expect(await serviceAt('h1').ask([candidate], 0)).toMatchObject({ kind: 'granted' });
});

// Guards against permits of a process that was suspended and has been replaced meanwhile.
test('a process that may have lost its lease issues nothing', async () => {
  const { state, serviceAt, limitsAt } = create();
  serviceAt('h1').beginTerm({ fence: 7, isFirst: true });
  limitsAt('h2').observe(e1, 1, 0, 1);
  state.mayIssue = false;
  expect(await serviceAt('h2').ask([candidate], 0)).toBeUndefined();
  serviceAt('h1').endTerm();
  state.mayIssue = true;
  expect(await serviceAt('h2').ask([candidate], 0)).toBeUndefined();
});
