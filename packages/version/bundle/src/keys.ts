import {
  createHash,
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  type KeyObject,
} from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';

/** Why a key could not be read. */
export interface KeyError {
  readonly kind: 'wrong_key';
  readonly message: string;
}

/** An operator's Ed25519 key pair as PEM (PKCS #8 and SPKI). */
export interface KeyPair {
  readonly privateKey: string;
  readonly publicKey: string;
  readonly keyId: string;
}

/** Key identifier: the first 16 hexadecimal digits of the SHA-256 of the SPKI encoding. */
export const keyId = (key: KeyObject): string => {
  const publicKey = key.type === 'private' ? createPublicKey(key) : key;
  const der = publicKey.export({ type: 'spki', format: 'der' });
  return createHash('sha256').update(der).digest('hex').slice(0, 16);
};

export const generateKeys = (): KeyPair => {
  const { privateKey, publicKey } = generateKeyPairSync('ed25519');
  return {
    privateKey: privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
    publicKey: publicKey.export({ type: 'spki', format: 'pem' }).toString(),
    keyId: keyId(publicKey),
  };
};

const readKey = (
  make: (pem: string) => KeyObject,
  pem: string,
  what: string,
): Result<KeyObject, KeyError> => {
  try {
    const key = make(pem);
    if (key.asymmetricKeyType === 'ed25519') return ok(key);
    const type = key.asymmetricKeyType ?? 'another type';
    return err({ kind: 'wrong_key', message: `${what} is ${type}, expected ed25519` });
  } catch {
    return err({ kind: 'wrong_key', message: `${what} is not PEM of an Ed25519 key` });
  }
};

export const readPrivateKey = (pem: string): Result<KeyObject, KeyError> =>
  readKey(createPrivateKey, pem, 'the private key');

/** Reads a public key. Refuses a private key, so that none ends up in the settings. */
export const readPublicKey = (pem: string): Result<KeyObject, KeyError> =>
  pem.includes('PRIVATE KEY')
    ? err({ kind: 'wrong_key', message: 'this is a private key, expected a public key' })
    : readKey(createPublicKey, pem, 'the public key');
