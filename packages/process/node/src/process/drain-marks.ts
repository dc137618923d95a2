import type { Membership } from '@currantdrift/membership';
import type { DrainMark } from '@currantdrift/placement';
import type { RoutableView } from './routable-view';

/** Key of the fact that lists the replicas that the domain controller drains. */
const drainKey = 'p/drains';

/** Spreads the controller's drain marks in the domain and applies those received. */
export class DrainMarks {
  private sequence = 0;

  private constructor(private readonly membership: Membership) {}

  static create(membership: Membership, view: RoutableView): DrainMarks {
    membership.dissemination.table.subscribe(drainKey, ({ value }) => {
      const marks = Array.isArray(value) ? (value as [string, string][]) : [];
      view.setDraining(marks.map(([engine, item]) => ({ engine, item })));
    });
    return new DrainMarks(membership);
  }

  /** Tells all members at once; `epoch` is that of the controller, whose word outranks older ones. */
  publish(epoch: number, marks: readonly DrainMark[]): void {
    this.sequence += 1;
    const value = marks.map(({ engine, item }) => [engine, item]);
    this.membership.publish({ key: drainKey, rank: [epoch, this.sequence], value }, true);
  }
}
