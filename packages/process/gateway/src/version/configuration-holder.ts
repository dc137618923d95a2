import type { Change, Entry, Telemetry } from '@currantdrift/core';
import type { Configuration } from '@currantdrift/routes';
import type { Result } from 'neverthrow';
import type { EntryListener } from '../process/feed';

/** Decodes the operator's configuration; the error names the invalid field and the reason. */
export type ConfigurationDecoder = (value: Uint8Array) => Result<Configuration, string>;

/**
 * Holds the newest configuration; ignores entries that are malformed or whose version is older. After the
 * store has come back from a copy, the operator may write the same version again with other contents.
 */
export class ConfigurationHolder implements EntryListener {
  private current: Configuration | undefined;

  private currentEntry: Entry | undefined;

  private constructor(
    private readonly key: string,
    private readonly decode: ConfigurationDecoder,
    private readonly telemetry: Telemetry,
    private readonly onConfiguration: (configuration: Configuration) => void,
  ) {}

  /** `key` is the key of the configuration's entry in the store. */
  static create(
    key: string,
    decode: ConfigurationDecoder,
    telemetry: Telemetry,
    onConfiguration: (configuration: Configuration) => void = () => {},
  ): ConfigurationHolder {
    return new ConfigurationHolder(key, decode, telemetry, onConfiguration);
  }

  get configuration(): Configuration | undefined {
    return this.current;
  }

  onListing(entries: readonly Entry[]): void {
    entries.filter(({ key }) => key === this.key).forEach((entry) => this.apply(entry));
  }

  onChange(change: Change): void {
    if (change.kind === 'put' && change.entry.key === this.key) this.apply(change.entry);
  }

  private apply(entry: Entry): void {
    const decoded = this.decode(entry.value);
    if (decoded.isErr()) {
      this.telemetry.count('currantdrift_malformed_entries_total', { kind: 'configuration' });
      this.telemetry.log('configuration.malformed', {
        revision: entry.revision,
        reason: decoded.error,
      });
      return;
    }
    const before = this.current?.version;
    const { version, routes } = decoded.value;
    const isOlder = before !== undefined && version < before;
    if (isOlder || (version === before && !this.isRewritten(entry))) return;
    this.current = decoded.value;
    this.currentEntry = entry;
    this.telemetry.log('configuration', {
      version,
      before,
      revision: entry.revision,
      routes: routes.length,
      bytes: entry.value.length,
    });
    this.onConfiguration(decoded.value);
  }

  /** Whether an entry of the current version was written later with other contents. */
  private isRewritten({ revision, value }: Entry): boolean {
    const { currentEntry } = this;
    return (
      currentEntry !== undefined &&
      revision > currentEntry.revision &&
      Buffer.compare(value, currentEntry.value) !== 0
    );
  }
}
