/** Safety rules that a test may switch off to show what each of them prevents. */
export interface Protections {
  /** An order is sent only after its intent is confirmed in the record. */
  readonly intentBeforeOrder: boolean;
  /** An order whose answer was lost counts as carried out. */
  readonly countInDoubt: boolean;
  /** An unresolved intent of an earlier epoch blocks its item on an engine that ignores fencing. */
  readonly pairExclusion: boolean;
}

export const allProtections: Protections = {
  intentBeforeOrder: true,
  countInDoubt: true,
  pairExclusion: true,
};
