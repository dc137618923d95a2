/** Chunks of at least this size are kept as they are, in bytes. */
const largeChunkBytes = 16_384;

/** Bounds of the size of a block into which small chunks are merged, in bytes. */
const minBlockBytes = 1_024;
const maxBlockBytes = 65_536;

/** Size of a new block as a share of what has been received. */
const growthShare = 0.25;

/**
 * A body that is being received. Small chunks are merged: each chunk is an object of its own, which takes
 * several times the memory of a few bytes.
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];

  /** The block that is being filled, and its used bytes. */
  private block: Buffer | undefined;

  private used = 0;

  private receivedBytes = 0;

  private constructor() {}

  static create(): BodyBuffer {
    return new BodyBuffer();
  }

  /** Received bytes. */
  get size(): number {
    return this.receivedBytes;
  }

  /** Memory that the body occupies, in bytes. */
  get allocatedBytes(): number {
    return this.receivedBytes + (this.block === undefined ? 0 : this.block.length - this.used);
  }

  append(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    const copied = this.fill(chunk);
    const rest = chunk.subarray(copied);
    if (rest.length === 0) return;
    if (rest.length >= largeChunkBytes) {
      this.closeBlock();
      this.blocks.push(rest);
      return;
    }
    this.openBlock(rest.length);
    this.fill(rest);
  }

  /** Returns the whole body and forgets it. */
  take(): Buffer {
    this.closeBlock();
    const body = this.blocks.length === 1 ? this.blocks[0] : Buffer.concat(this.blocks);
    this.clear();
    return body;
  }

  clear(): void {
    this.blocks = [];
    this.block = undefined;
    this.used = 0;
    this.receivedBytes = 0;
  }

  /** Copies the part of `chunk` that fits into the open block; returns its length. */
  private fill(chunk: Buffer): number {
    if (this.block === undefined) return 0;
    const copied = chunk.copy(this.block, this.used);
    this.used += copied;
    return copied;
  }

  private openBlock(neededBytes: number): void {
    this.closeBlock();
    const grown = Math.min(maxBlockBytes, this.receivedBytes * growthShare);
    this.block = Buffer.allocUnsafeSlow(Math.max(minBlockBytes, neededBytes, Math.ceil(grown)));
    this.used = 0;
  }

  private closeBlock(): void {
    if (this.block !== undefined) this.blocks.push(this.block.subarray(0, this.used));
    this.block = undefined;
  }
}
