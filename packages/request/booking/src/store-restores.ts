/** What a daemon knows of the times at which the store came back from a copy. */
export interface StoreRestores {
  /**
   * Time until all daemons that the store reaches have had the time to write what it lost again, in ms; 0
   * if there is none to wait for.
   */
  recoveryLeftMs(now: number): number;
  /** Calls `listener` each time that the store has come back from a copy. */
  subscribe(listener: () => void): void;
}

/** A store that never comes back from a copy. */
export const noRestores: StoreRestores = {
  recoveryLeftMs: () => 0,
  subscribe: () => {},
};
