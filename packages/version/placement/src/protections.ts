/** Safety rules that a test may disable to show what each of them prevents. */
export interface Protections {
  /** An order is sent only after the store has confirmed its intent. */
  readonly intentBeforeOrder: boolean;
  /** An order whose response was lost counts as done. */
  readonly countInDoubt: boolean;
  /**
   * No orders are sent for an item on an engine while an intent of an earlier epoch for the same
   * item and engine is unresolved. Needed for engines that ignore fencing.
   */
  readonly pairExclusion: boolean;
}

export const allProtections: Protections = {
  intentBeforeOrder: true,
  countInDoubt: true,
  pairExclusion: true,
};
