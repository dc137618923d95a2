import type { Command } from '../command';
import { bundleCheck, bundlePropose, bundleSign } from './bundle-files';
import { bundleDiff, bundleHistory, bundleRollout, bundleStatus } from './bundle-rollout';
import { drain, explain, status } from './daemon';
import { keysGenerate } from './keys';

/** Every command of the client. */
export const commands: readonly Command[] = [
  bundleCheck,
  bundlePropose,
  bundleSign,
  bundleRollout,
  bundleStatus,
  bundleDiff,
  bundleHistory,
  status,
  drain,
  explain,
  keysGenerate,
];
