interface Span {
  readonly from: number;
  to: number;
}

/** Times at which processes, links or the store were disturbed by the soak. */
export class Disturbances {
  private readonly spans = new Map<string, Span[]>();

  private constructor() {}

  static create(): Disturbances {
    return new Disturbances();
  }

  /** Begins a disturbance of `name`; gives the function that ends it. */
  begin(name: string, at: number): (at: number) => void {
    const span: Span = { from: at, to: Infinity };
    this.spans.set(name, [...(this.spans.get(name) ?? []), span]);
    return (end) => {
      span.to = end;
    };
  }

  /** Whether a disturbance of one of the names ended between two times. */
  ended(names: readonly string[], from: number, to: number): boolean {
    return names.some((name) =>
      (this.spans.get(name) ?? []).some((span) => span.to >= from && span.to <= to),
    );
  }

  /** Whether one of the names was disturbed between two times. */
  any(names: readonly string[], from: number, to: number): boolean {
    return names.some((name) =>
      (this.spans.get(name) ?? []).some((span) => span.from <= to && span.to >= from),
    );
  }
}
