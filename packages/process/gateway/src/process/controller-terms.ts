import type { Clock, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, LimitReport } from '@currantdrift/fleet';
import { defaultResidencySettings } from '@currantdrift/residency';
import type { Configuration } from '@currantdrift/routes';
import type { EngineControl } from '../connection/engine-control';
import { Controller } from './controller';
import type { Resignation, Term } from './controller-election';
import type { InventoryBroadcaster } from './inventory-broadcaster';
import type { PermitService } from './permit-service';

export interface ControllerTermsOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly host: string;
  readonly control: EngineControl;
  readonly directory: EndpointDirectory;
  readonly inventoryBroadcaster: InventoryBroadcaster;
  readonly permitService: PermitService;
  readonly configuration: () => Configuration | undefined;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
  readonly onLimits: (limits: readonly LimitReport[], source: string) => void;
  /** Tells all members that a term has ended. */
  readonly onResignation: (resignation: Resignation) => void;
  readonly runInBackground: (task: Promise<void>) => void;
}

/** Runs the controller in this process while it holds a term. */
export class ControllerTerms {
  private current: Controller | undefined;

  private constructor(private readonly options: ControllerTermsOptions) {}

  static create(options: ControllerTermsOptions): ControllerTerms {
    return new ControllerTerms(options);
  }

  /** The controller in this process; undefined if it runs elsewhere. */
  get controller(): Controller | undefined {
    return this.current;
  }

  begin(term: Term): void {
    const { inventoryBroadcaster, permitService, host, runInBackground, ...options } = this.options;
    inventoryBroadcaster.beginTerm(term.fence);
    permitService.beginTerm(term);
    this.current = Controller.create(
      {
        ...options,
        settings: defaultResidencySettings,
        holder: host,
        announce: (fence, announcement) => inventoryBroadcaster.announce(fence, announcement),
      },
      term,
    );
    runInBackground(this.current.run());
  }

  end(fence: number): void {
    const { permitService, onResignation } = this.options;
    const controller = this.current;
    this.current = undefined;
    permitService.endTerm();
    if (controller !== undefined) onResignation({ fence, orderAges: controller.stop() });
  }
}
