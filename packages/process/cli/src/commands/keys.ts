import { generateKeys } from '@currantdrift/bundle';
import { ok } from 'neverthrow';
import type { Command } from '../command';
import { writeNewFile } from '../files';

const privateMode = 0o600;
const publicMode = 0o644;

/** `keys generate` */
export const keysGenerate: Command = {
  name: 'keys generate',
  operands: ['NAME'],
  summary: 'Write a new Ed25519 key pair to NAME.key and NAME.pub.pem',
  options: {},
  examples: ['currantdrift keys generate keys/nino'],
  run: async ([name]) => {
    const pair = generateKeys();
    const files = { privateKey: `${name}.key`, publicKey: `${name}.pub.pem` };
    return writeNewFile(files.privateKey, pair.privateKey, privateMode)
      .andThen(() => writeNewFile(files.publicKey, pair.publicKey, publicMode))
      .andThen(() =>
        ok({
          lines: [`wrote ${files.privateKey} and ${files.publicKey}, key id ${pair.keyId}`],
          value: { ...files, keyId: pair.keyId },
        }),
      );
  },
};
