import type { PeerInbox } from '../connection/peer-inbox';
import {
  begunStreamsSchema,
  clearedSchema,
  crashSchema,
  inventorySchema,
  leavingSchema,
  loadRequestSchema,
  PeerMessageKind,
  permitRequestSchema,
  quotaHandoverRequestSchema,
  quotaRequestSchema,
  quotaReturnMessageSchema,
  resignedSchema,
  streamRequestSchema,
  usageSchema,
} from '../connection/peer-messages';
import type { Controller } from './controller';
import type { CrashNotices } from './crash-notices';
import type { ControllerElection } from './controller-election';
import type { InventoryBroadcaster } from './inventory-broadcaster';
import type { LeavingNotices } from './leaving-notices';
import type { PermitService } from './permit-service';
import type { QuotaService } from './quota-service';
import type { StreamLedger } from './stream-ledger';

/** The components that receive messages from peers. */
export interface PeerHandlers {
  /** The controller in this process; undefined if it runs elsewhere. */
  readonly controller: () => Controller | undefined;
  readonly permitService: PermitService;
  readonly quotas: QuotaService;
  readonly inventoryBroadcaster: InventoryBroadcaster;
  readonly leavingNotices: LeavingNotices;
  readonly crashNotices: CrashNotices;
  readonly streams: StreamLedger;
  readonly election: ControllerElection;
}

/** Passes each kind of message from peers to the component that handles it. */
export const registerPeerHandlers = (inbox: PeerInbox, handlers: PeerHandlers): void => {
  const {
    controller,
    permitService,
    quotas,
    inventoryBroadcaster,
    leavingNotices,
    crashNotices,
    streams,
    election,
  } = handlers;
  inbox.onRequest(PeerMessageKind.want, loadRequestSchema, (want) => controller()?.want(want));
  inbox.onRequest(PeerMessageKind.permit, permitRequestSchema, (request, from) =>
    permitService.respond(request, from),
  );
  inbox.onRequest(PeerMessageKind.quota, quotaRequestSchema, (request) => quotas.respond(request));
  inbox.onRequest(PeerMessageKind.quotaHandover, quotaHandoverRequestSchema, ({ customer }) =>
    quotas.handOver(customer),
  );
  inbox.onNotification(PeerMessageKind.quotaReturn, quotaReturnMessageSchema, (returned) =>
    quotas.receiveReturn(returned),
  );
  inbox.onRequest(PeerMessageKind.stream, streamRequestSchema, ({ request }) => {
    const known = streams.get(request);
    if (known === undefined) return undefined;
    const { service, softwareVersion } = known;
    return { kind: 'begun', service, softwareVersion };
  });
  inbox.onNotification(PeerMessageKind.streams, begunStreamsSchema, (begun) =>
    streams.receive(begun),
  );
  inbox.onNotification(PeerMessageKind.usage, usageSchema, (usage) =>
    controller()?.recordUsage(usage),
  );
  inbox.onNotification(PeerMessageKind.inventory, inventorySchema, (inventory) =>
    inventoryBroadcaster.receive(inventory),
  );
  inbox.onNotification(PeerMessageKind.leaving, leavingSchema, (notice, from) =>
    leavingNotices.receive(notice, from),
  );
  inbox.onNotification(PeerMessageKind.crash, crashSchema, (report) =>
    crashNotices.receiveCrash(report),
  );
  inbox.onNotification(PeerMessageKind.cleared, clearedSchema, (cleared) =>
    crashNotices.receiveCleared(cleared),
  );
  inbox.onNotification(PeerMessageKind.resigned, resignedSchema, (resigned) =>
    election.receiveResignation(resigned),
  );
};
