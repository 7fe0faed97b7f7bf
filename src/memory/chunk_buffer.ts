/**
 * Collects a body that arrives in chunks of any size.
 *
 * @packageDocumentation
 */

/** Sizes of the blocks that chunks are copied into, in bytes. */
const MIN_BLOCK_BYTES = 1024;
export const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Holds a body in few buffers. A buffer of Node.js costs over a hundred bytes
 * beside its content, so a body in chunks of one byte would take a hundred times
 * its size if each chunk were kept. Chunks are copied into blocks, of which only
 * the last one is not full.
 */
export class ChunkBuffer {
  private readonly parts: Buffer[] = [];
  private block: Buffer | undefined;
  private blockUsedBytes = 0;
  private receivedBytes = 0;
  private allocatedBytes = 0;

  /** Size of the body so far. */
  get sizeBytes(): number {
    return this.receivedBytes;
  }

  /** Memory that the body takes, unused parts of blocks included. */
  get heldBytes(): number {
    return this.allocatedBytes;
  }

  /** Memory that {@link ChunkBuffer.toBuffer} takes beside what is held. */
  get joinedBytes(): number {
    const partCount = this.parts.length + Number(this.block !== undefined);
    return partCount > 1 ? this.receivedBytes : 0;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - bytes as received
   */
  append(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      const block = this.openBlock(chunk.length - copiedBytes);
      const count = chunk.copy(block, this.blockUsedBytes, copiedBytes);
      this.blockUsedBytes += count;
      copiedBytes += count;
    }
  }

  /** Returns the whole body. */
  toBuffer(): Buffer {
    this.closeBlock();
    const [first, ...rest] = this.parts;
    return rest.length === 0 && first !== undefined
      ? first
      : Buffer.concat(this.parts);
  }

  /** Returns the parts of the body and forgets them. */
  takeParts(): readonly Buffer[] {
    this.closeBlock();
    const parts = this.parts.splice(0);
    this.allocatedBytes = 0;
    return parts;
  }

  /** Returns a block with room; its size grows with the body. */
  private openBlock(neededBytes: number): Buffer {
    if (this.block === undefined || this.blockUsedBytes === this.block.length) {
      this.closeBlock();
      const wantedBytes = Math.max(neededBytes, this.allocatedBytes);
      const sizeBytes = Math.min(
        MAX_BLOCK_BYTES,
        Math.max(MIN_BLOCK_BYTES, wantedBytes),
      );
      // Not from the pool of Node.js, which a small part would keep alive.
      this.block = Buffer.allocUnsafeSlow(sizeBytes);
      this.blockUsedBytes = 0;
      this.allocatedBytes += sizeBytes;
    }
    return this.block;
  }

  private closeBlock(): void {
    if (this.block !== undefined) {
      this.parts.push(this.block.subarray(0, this.blockUsedBytes));
      this.block = undefined;
    }
  }
}
