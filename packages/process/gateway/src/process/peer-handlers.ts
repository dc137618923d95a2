import type { PeerInbox } from '../connection/peer-inbox';
import {
  clearedSchema,
  crashSchema,
  inventorySchema,
  leavingSchema,
  loadRequestSchema,
  PeerMessageKind,
  permitRequestSchema,
  resignedSchema,
  usageSchema,
} from '../connection/peer-messages';
import type { Controller } from './controller';
import type { CrashNotices } from './crash-notices';
import type { ControllerElection } from './controller-election';
import type { InventoryBroadcaster } from './inventory-broadcaster';
import type { LeavingNotices } from './leaving-notices';
import type { PermitService } from './permit-service';

/** The components that receive messages from peers. */
export interface PeerHandlers {
  /** The controller in this process; undefined if it runs elsewhere. */
  readonly controller: () => Controller | undefined;
  readonly permitService: PermitService;
  readonly inventoryBroadcaster: InventoryBroadcaster;
  readonly leavingNotices: LeavingNotices;
  readonly crashNotices: CrashNotices;
  readonly election: ControllerElection;
}

/** Passes each kind of message from peers to the component that handles it. */
export const registerPeerHandlers = (inbox: PeerInbox, handlers: PeerHandlers): void => {
  const {
    controller,
    permitService,
    inventoryBroadcaster,
    leavingNotices,
    crashNotices,
    election,
  } = handlers;
  inbox.onRequest(PeerMessageKind.want, loadRequestSchema, (want) => controller()?.want(want));
  inbox.onRequest(PeerMessageKind.permit, permitRequestSchema, (request, from) =>
    permitService.respond(request, from),
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
