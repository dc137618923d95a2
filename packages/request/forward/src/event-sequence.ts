/** Largest number of digits of an id that a number holds exactly. */
const maxDigits = 15;

const numberOf = (id: string): number | undefined =>
  id.length <= maxDigits && /^\d+$/u.test(id) ? Number(id) : undefined;

/** The ids of a stream's events, over all answers that the stream is made of. */
export class EventSequence {
  /** Whether the ids have gone up by one each time; undefined before the second event. */
  private isConsecutive: boolean | undefined;

  private constructor(private last: string | undefined) {}

  /** `lastId` is the id of the last event that the client has of the stream already. */
  static create(lastId: string | undefined): EventSequence {
    return new EventSequence(lastId);
  }

  /** Id of the last event; undefined if none had an id. */
  get lastId(): string | undefined {
    return this.last;
  }

  /**
   * Adds events by their ids; returns why they cannot follow the earlier ones, and adds none then. If they
   * begin an answer that goes on with the stream, no event may be missing between.
   */
  append(ids: readonly string[], beginsAnswer: boolean): string | undefined {
    let before = this.last;
    let { isConsecutive } = this;
    for (const [index, id] of ids.entries()) {
      const from = before === undefined ? undefined : numberOf(before);
      const to = numberOf(id);
      if (from !== undefined && to !== undefined) {
        if (to <= from) return `event ${id} after event ${before}`;
        const isNext = to === from + 1;
        const isGap = !isNext && isConsecutive === true;
        if (isGap && beginsAnswer && index === 0) return `no event between ${before} and ${id}`;
        isConsecutive = (isConsecutive ?? true) && isNext;
      }
      before = id;
    }
    this.last = before;
    this.isConsecutive = isConsecutive;
    return undefined;
  }
}
