import type { KeyObject } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { keyId, readPublicKey } from './keys';
import type { ValidationIssue } from './mistake';

/** Public keys of the operators whose signatures count. */
export class TrustedKeys {
  private constructor(private readonly keys: ReadonlyMap<string, KeyObject>) {}

  /** `keys` maps the operator's name to the PEM of the public key; reports all mistakes. */
  static create(keys: Readonly<Record<string, string>>): Result<TrustedKeys, ValidationIssue[]> {
    const mistakes: ValidationIssue[] = [];
    const read = new Map<string, KeyObject>();
    const owners = new Map<string, string>();
    Object.entries(keys).forEach(([operator, pem]) => {
      const value = JSON.stringify(pem.slice(0, 30));
      readPublicKey(pem).match(
        (key) => {
          const id = keyId(key);
          const owner = owners.get(id);
          if (owner !== undefined) {
            const expected = `a key of this operator alone; ${JSON.stringify(owner)} has it too`;
            mistakes.push({ path: `trustedKeys.${operator}`, value, expected });
          }
          owners.set(id, operator);
          read.set(operator, key);
        },
        ({ message }) =>
          mistakes.push({
            path: `trustedKeys.${operator}`,
            value,
            expected: `an Ed25519 public key as PEM (${message})`,
          }),
      );
    });
    return mistakes.length > 0 ? err(mistakes) : ok(new TrustedKeys(read));
  }

  get(operator: string): KeyObject | undefined {
    return this.keys.get(operator);
  }

  operators(): readonly string[] {
    return [...this.keys.keys()];
  }
}
