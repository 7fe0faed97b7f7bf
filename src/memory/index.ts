/**
 * What a process holds for the other ends of its connections.
 *
 * @packageDocumentation
 */
export {ChunkBuffer} from './chunk_buffer.js';
export {
  chooseEvicted,
  memoryCapacityBytes,
  MemoryBudget,
  MemoryHolder,
  type EvictionCandidate,
} from './memory_budget.js';
