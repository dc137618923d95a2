import { pairKey } from './intent';

/** A replica that is drained: it gets no new requests. */
export interface DrainMark {
  readonly engine: string;
  /** Item key. */
  readonly item: string;
}

/** Replicas that the controller is draining. Calls `publish` with all of them at each change. */
export class Drains {
  private readonly marks = new Map<string, DrainMark & { readonly cancellable: boolean }>();

  private constructor(private readonly publish: (marks: readonly DrainMark[]) => void) {}

  static create(publish: (marks: readonly DrainMark[]) => void): Drains {
    return new Drains(publish);
  }

  get pairs(): ReadonlySet<string> {
    return new Set(this.marks.keys());
  }

  list(): readonly DrainMark[] {
    return [...this.marks.values()].map(({ engine, item }) => ({ engine, item }));
  }

  has(engine: string, item: string): boolean {
    return this.marks.has(pairKey(engine, item));
  }

  /** `cancellable`: a new request for the item may cancel the drain. */
  set(engine: string, item: string, cancellable: boolean): void {
    this.marks.set(pairKey(engine, item), { engine, item, cancellable });
    this.publish(this.list());
  }

  /** Cancels a drain if it is cancellable; true if it was. */
  cancel(engine: string, item: string): boolean {
    if (this.marks.get(pairKey(engine, item))?.cancellable !== true) return false;
    this.delete(engine, item);
    return true;
  }

  delete(engine: string, item: string): void {
    if (this.marks.delete(pairKey(engine, item))) this.publish(this.list());
  }

  clear(): void {
    this.marks.clear();
    this.publish([]);
  }
}
