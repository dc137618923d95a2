import type { Membership } from '@currantdrift/membership';
import type { DrainMark } from '@currantdrift/placement';
import type { RoutableView } from './routable-view';

/** Gossip key under which the domain controller lists the replicas that it drains. */
const drainKey = 'p/drains';

/** Publishes the controller's drain marks to the domain and applies received ones to routing. */
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

  /**
   * Sends the marks to all members at once. Marks of a higher controller epoch override older ones.
   */
  publish(epoch: number, marks: readonly DrainMark[]): void {
    this.sequence += 1;
    const value = marks.map(({ engine, item }) => [engine, item]);
    this.membership.publish({ key: drainKey, rank: [epoch, this.sequence], value }, true);
  }
}
