/**
 * Stamps of messages between VMs.
 *
 * @packageDocumentation
 */
import {MessageStamp} from '../peer_grpc/index.js';
import type {HybridClock, HybridTime} from '../timeline/index.js';

/** Feeds a hybrid clock with the wall clock of this machine. */
export class WallClockStamp extends MessageStamp {
  /** @param clock - clock that events of this process carry as well */
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
