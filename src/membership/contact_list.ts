/**
 * Selection of the peer for the next gossip exchange.
 *
 * @packageDocumentation
 */
import type {RandomSource} from '../core/index.js';
import type {Member} from './types.js';

/** Address of a peer port. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Average number of rounds per probe of an address without a live member. */
const ROUNDS_PER_PROBE = 8;

/** Maximum number of contacts; the least recently added are evicted first. */
const MAX_CONTACTS = 1_024;

/**
 * Selects gossip peers among the members and the contact addresses, which come
 * from the seeds and the VM list.
 *
 * Some rounds probe dead members and contacts without a live member, so that
 * the sides of a healed partition rejoin.
 *
 * @example
 * ```ts
 * contacts.add([{host: '127.0.0.1', port: 7946}]);
 * const peer = contacts.choose(members, random);
 * ```
 */
export class ContactList {
  private readonly contacts = new Map<string, PeerAddress>();

  /** @param self - address of this VM, never chosen */
  constructor(private readonly self: PeerAddress) {}

  /**
   * Adds contact addresses.
   *
   * @param addresses - addresses to add; known ones count as added again
   */
  add(addresses: readonly PeerAddress[]): void {
    for (const {host, port} of addresses) {
      const key = addressKey({host, port});
      this.contacts.delete(key);
      this.contacts.set(key, {host, port});
    }
    for (const key of this.contacts.keys()) {
      if (this.contacts.size <= MAX_CONTACTS) {
        break;
      }
      this.contacts.delete(key);
    }
  }

  /**
   * Chooses the peer of one round at random.
   *
   * @param members - members other than this VM
   * @param random - random source
   * @returns an address; undefined if none is known
   */
  choose(
    members: readonly Member[],
    random: RandomSource,
  ): PeerAddress | undefined {
    const live = new Map<string, PeerAddress>();
    const dead = new Map(this.contacts);
    for (const {incarnation, state} of members) {
      const {host, port} = incarnation;
      const pool = state === 'dead' ? dead : live;
      pool.set(addressKey(incarnation), {host, port});
    }
    for (const key of [...live.keys(), addressKey(this.self)]) {
      dead.delete(key);
    }
    live.delete(addressKey(this.self));
    const probesDead =
      random.nextInt(ROUNDS_PER_PROBE) === 0 || live.size === 0;
    const pool = [...(probesDead && dead.size > 0 ? dead : live).values()];
    return pool.length === 0 ? undefined : pool[random.nextInt(pool.length)];
  }
}

function addressKey(address: PeerAddress): string {
  return `${address.host}:${address.port}`;
}
