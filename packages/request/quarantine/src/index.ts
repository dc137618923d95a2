export { CrashLedger } from './crash-ledger';
export {
  type ClearedParts,
  clearedPartsSchema,
  type CrashReport,
  crashReportSchema,
  type Quarantine,
  quarantineSchema,
  type Suspect,
} from './crash-report';
export { CrashWatch, type CrashWatchOptions, EngineState } from './crash-watch';
export { isRequestSubject } from './subjects';
export { defaultQuarantineSettings, type QuarantineSettings } from './settings';
export type { WatchedRequest, WatchedSend } from './watched-send';
