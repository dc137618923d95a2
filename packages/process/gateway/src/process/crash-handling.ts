import type { Clock, PrefixStore, Random, Telemetry } from '@currantdrift/core';
import { CrashLedger, CrashWatch } from '@currantdrift/quarantine';
import type { EngineProbe } from '../connection/engine-probe';
import type { DomainNotices } from '../version/domain-notices';
import { StoredQuarantines } from '../version/stored-quarantines';
import { CrashNotices } from './crash-notices';

export interface CrashHandlingOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly notices: DomainNotices;
  readonly probe: EngineProbe;
  readonly members: () => number;
}

/** The components of a process that hold back prompts which crash engines. */
export class CrashHandling {
  readonly watch: CrashWatch;

  readonly notices: CrashNotices;

  readonly stored: StoredQuarantines;

  private constructor(options: CrashHandlingOptions) {
    const { clock, random, telemetry, store, members, probe } = options;
    const ledger = CrashLedger.create(random);
    const watch = () => this.watch;
    this.notices = CrashNotices.create(clock, options.notices, watch);
    this.stored = StoredQuarantines.create({
      store,
      clock,
      random,
      telemetry,
      ledger,
      watch,
      members,
    });
    this.watch = CrashWatch.create({
      clock,
      random,
      telemetry,
      ledger,
      members,
      probe: (request) => probe.check(request),
      publishCrash: (report) => this.notices.publishCrash(report),
      publishCleared: (cleared) => this.notices.publishCleared(cleared),
      onBegin: (quarantine, isOwn) => this.stored.begin(quarantine, isOwn),
      onEnd: (quarantine) => {
        this.stored.end(quarantine).catch((error: unknown) => {
          telemetry.log('task.error', { reason: String(error) });
        });
      },
    });
  }

  static create(options: CrashHandlingOptions): CrashHandling {
    return new CrashHandling(options);
  }
}
