import type { Clock } from '@currantdrift/core';
import type { ClearedParts, CrashReport, CrashWatch } from '@currantdrift/quarantine';
import {
  type ClearedMessage,
  type CrashMessage,
  PeerMessageKind,
} from '../connection/peer-messages';
import type { DomainNotices } from '../version/domain-notices';

/** Exchanges with all members what each of them sees of crashed engines. */
export class CrashNotices {
  private constructor(
    private readonly clock: Clock,
    private readonly notices: DomainNotices,
    private readonly watch: () => CrashWatch,
  ) {}

  static create(clock: Clock, notices: DomainNotices, watch: () => CrashWatch): CrashNotices {
    return new CrashNotices(clock, notices, watch);
  }

  publishCrash(report: CrashReport): void {
    this.notices.publish({ kind: PeerMessageKind.crash, ...report });
  }

  publishCleared(cleared: ClearedParts): void {
    this.notices.publish({ kind: PeerMessageKind.cleared, ...cleared });
  }

  receiveCrash(message: CrashMessage): void {
    const isNew = this.watch().receiveCrash(message, this.clock.now());
    if (isNew) this.notices.passOn(message);
  }

  receiveCleared(message: ClearedMessage): void {
    this.watch().receiveCleared(message, this.clock.now());
    this.notices.passOn(message);
  }
}
