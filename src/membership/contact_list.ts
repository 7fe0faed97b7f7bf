/**
 * Choice of the peer for the next exchange.
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

/** One in so many rounds goes to an address without a live member. */
const PROBE_ROUNDS = 8;

/** Contacts kept; the least recently added ones are dropped first. */
const MAX_CONTACTS = 1_024;

/**
 * Addresses from seeds and the VM list, next to those of members.
 *
 * Some rounds go to dead members and to contacts without a live member, so
 * that the parts of a healed partition find each other.
 *
 * @example
 * ```ts
 * contacts.add([{host: '127.0.0.1', port: 7946}]);
 * const peer = contacts.choose(members, random);
 * ```
 */
export class ContactList {
  private readonly contacts = new Map<string, PeerAddress>();

  /** @param self - own address, never chosen */
  constructor(private readonly self: PeerAddress) {}

  /**
   * Adds addresses.
   *
   * @param addresses - addresses to contact
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
   * Chooses a peer.
   *
   * @param members - the members without this VM
   * @param random - random source
   * @returns an address; undefined if none is known
   */
  choose(
    members: readonly Member[],
    random: RandomSource,
  ): PeerAddress | undefined {
    const live = new Map<string, PeerAddress>();
    const lost = new Map(this.contacts);
    for (const {incarnation, state} of members) {
      const {host, port} = incarnation;
      const pool = state === 'dead' ? lost : live;
      pool.set(addressKey(incarnation), {host, port});
    }
    for (const key of [...live.keys(), addressKey(this.self)]) {
      lost.delete(key);
    }
    live.delete(addressKey(this.self));
    const tryLost = random.nextInt(PROBE_ROUNDS) === 0 || live.size === 0;
    const pool = [...(tryLost && lost.size > 0 ? lost : live).values()];
    return pool.length === 0 ? undefined : pool[random.nextInt(pool.length)];
  }
}

function addressKey(address: PeerAddress): string {
  return `${address.host}:${address.port}`;
}
