/**
 * Lists of VMs from a platform that was restored from an older copy.
 *
 * @packageDocumentation
 */
import type {ListedVm, VmListDocument} from './types.js';

/** Most removed VMs that are remembered; the oldest are forgotten. */
const MAX_REMOVED_VMS = 1_000;

/**
 * Merges lists over a restore of the platform. The list of an older copy shows
 * VMs as they were: one that is leaving or was removed stays so, and one that it
 * lacks is kept. The next publication of the new era is used as it is.
 */
export class VmListHistory {
  private readonly removedIds = new Set<string>();

  /**
   * Returns the list to use.
   *
   * @param list - adopted list
   * @param previous - list in use before; undefined for the first one
   * @param isOlderCopy - true if the list may be that of an older copy
   * @returns the list, merged with the previous one if it may be older
   */
  adopt(
    list: VmListDocument,
    previous: VmListDocument | undefined,
    isOlderCopy: boolean,
  ): VmListDocument {
    const used =
      isOlderCopy && previous !== undefined ? this.merge(list, previous) : list;
    const usedIds = new Set(used.vms.map(({id}) => id));
    usedIds.forEach(id => this.removedIds.delete(id));
    for (const {id} of previous?.vms ?? []) {
      if (!usedIds.has(id)) {
        this.removedIds.add(id);
      }
    }
    for (const id of this.removedIds) {
      if (this.removedIds.size <= MAX_REMOVED_VMS) {
        break;
      }
      this.removedIds.delete(id);
    }
    return used;
  }

  private merge(
    copy: VmListDocument,
    previous: VmListDocument,
  ): VmListDocument {
    const known = new Map(previous.vms.map(vm => [vm.id, vm]));
    const added = copy.vms.filter(
      ({id}) => !known.has(id) && !this.removedIds.has(id),
    );
    const copied = new Map(copy.vms.map(vm => [vm.id, vm]));
    const kept = previous.vms.map(vm => mergeVm(vm, copied.get(vm.id)));
    return {vms: [...kept, ...added]};
  }
}

/** Keeps a known VM, which leaves if either list says so. */
function mergeVm(known: ListedVm, copied: ListedVm | undefined): ListedVm {
  return copied?.state === 'leaving' ? copied : known;
}
