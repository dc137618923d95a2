import type { KeyObject } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { keyId, readPublicKey } from './keys';
import type { ValidationIssue } from './validation-issue';

/** Public keys of the operators whose signatures are accepted. */
export class TrustedKeys {
  private constructor(private readonly keys: ReadonlyMap<string, KeyObject>) {}

  /** `keys` maps each operator's name to a public key as PEM. Reports all invalid keys at once. */
  static create(keys: Readonly<Record<string, string>>): Result<TrustedKeys, ValidationIssue[]> {
    const issues: ValidationIssue[] = [];
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
            issues.push({ path: `trustedKeys.${operator}`, value, expected });
          }
          owners.set(id, operator);
          read.set(operator, key);
        },
        ({ message }) =>
          issues.push({
            path: `trustedKeys.${operator}`,
            value,
            expected: `an Ed25519 public key as PEM (${message})`,
          }),
      );
    });
    return issues.length > 0 ? err(issues) : ok(new TrustedKeys(read));
  }

  get(operator: string): KeyObject | undefined {
    return this.keys.get(operator);
  }

  operators(): readonly string[] {
    return [...this.keys.keys()];
  }
}
