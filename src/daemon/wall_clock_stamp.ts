/**
 * Timestamps of messages between VMs.
 *
 * @packageDocumentation
 */
import {MessageStamp} from '../peer_grpc/index.js';
import type {HybridClock, HybridTime} from '../timeline/index.js';

/**
 * Timestamps messages with a hybrid clock that follows this VM's wall clock.
 */
export class WallClockStamp extends MessageStamp {
  /** @param clock - hybrid clock shared with the event log of this process */
  constructor(private readonly clock: HybridClock) {
    super();
  }

  override next(): HybridTime {
    return this.clock.next(Date.now());
  }

  override observe(time: HybridTime): void {
    this.clock.observe(time, Date.now());
  }
}
