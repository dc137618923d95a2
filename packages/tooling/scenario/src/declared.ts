import { protectionNames } from './protections';
import type { Match } from './template';

/** Name of a daemon: the last part of its domain's name and a number from 1. */
export const daemonName = (domain: string, number: number): string =>
  `${domain.split('-').at(-1)}-${number}`;

/** Names declared by the settings, by the kinds of values that they may stand for. */
export class Declared {
  private readonly names = new Map<string, string[]>([
    ['protection', [...protectionNames]],
    ['place', ['store', 'hosts', 'all']],
    ...['domain', 'daemon', 'engine', 'endpoint', 'model', 'pool', 'operator'].map(
      (kind): [string, string[]] => [kind, []],
    ),
    ['caller', []],
    ['bundle', []],
  ]);

  get known(): ReadonlyMap<string, readonly string[]> {
    return this.names;
  }

  /** Adds the names of a setting; gives a name that is declared twice. */
  add({ template, values }: Match): string | undefined {
    const [kind] = template.split(' ');
    const name = String(values.new);
    switch (kind) {
      case 'domain':
        return (
          this.addAll(name, ['domain', 'place']) ?? this.addDaemons(name, Number(values.count))
        );
      case 'engine':
        return this.addAll(name, ['engine', 'endpoint', 'place']);
      case 'service':
        this.put('pool', String(values.pool));
        return this.addAll(name, ['endpoint', 'place']);
      case 'model':
      case 'adapter':
        return this.addAll(name, ['model']);
      case 'caller':
      case 'operator':
        return this.addAll(name, [kind]);
      case 'bundle':
        this.put('bundle', String(values.bundle));
        return undefined;
      default:
        return undefined;
    }
  }

  private addDaemons(domain: string, count: number): string | undefined {
    const names = Array.from({ length: count }, (_, index) => daemonName(domain, index + 1));
    return names.map((name) => this.addAll(name, ['daemon', 'place'])).find(Boolean);
  }

  private addAll(name: string, kinds: readonly string[]): string | undefined {
    if (kinds.some((kind) => this.names.get(kind)?.includes(name))) return name;
    kinds.forEach((kind) => this.put(kind, name));
    return undefined;
  }

  private put(kind: string, name: string): void {
    const known = this.names.get(kind) ?? [];
    if (!known.includes(name)) this.names.set(kind, [...known, name]);
  }
}
