/** A broken promise. */
export interface Violation {
  readonly at: number;
  readonly rule: string;
  readonly text: string;
}
