import type { Telemetry } from '@currantdrift/core';
import type { PaceCause, PaceObserver } from '@currantdrift/routing';

/** Logs and counts how endpoints that started, returned or recovered open. */
export class PaceTelemetry implements PaceObserver {
  private constructor(private readonly telemetry: Telemetry) {}

  static create(telemetry: Telemetry): PaceTelemetry {
    return new PaceTelemetry(telemetry);
  }

  onBegin(endpoint: string, cause: PaceCause): void {
    this.telemetry.count('currantdrift_paced_endpoints_total', { cause });
    this.telemetry.log('endpoint.opening', { endpoint, cause });
  }

  onEnd(endpoint: string, cause: PaceCause, openingMs: number): void {
    this.telemetry.log('endpoint.open', { endpoint, cause, openingMs: Math.round(openingMs) });
  }

  onDeferral(cause: PaceCause): void {
    this.telemetry.count('currantdrift_paced_requests_total', { cause });
  }
}
