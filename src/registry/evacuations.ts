/**
 * Failure domains that operators have taken out of service.
 *
 * @packageDocumentation
 */
import type {Evacuation, Revision} from './types.js';

/** Orders of operators to send nothing more to the targets of a domain. */
export class Evacuations {
  private readonly revisions = new Map<string, Revision>();
  private domains: ReadonlySet<string> = new Set();
  private isChanged = false;

  /** Failure domains that are out of service. */
  get failureDomains(): ReadonlySet<string> {
    return this.domains;
  }

  /** Orders in force, in order of their failure domains. */
  get all(): readonly Evacuation[] {
    return [...this.revisions]
      .map(([failureDomain, revision]) => ({failureDomain, revision}))
      .sort((a, b) => (a.failureDomain < b.failureDomain ? -1 : 1));
  }

  /** Digest of the orders; empty without any, as VMs before them have it. */
  get digest(): string {
    return [...this.domains].sort().join(' ');
  }

  /** Takes a domain out of service. */
  begin({failureDomain, revision}: Evacuation): void {
    this.revisions.set(failureDomain, revision);
    this.update();
  }

  /** Takes a domain back into service. */
  end(failureDomain: string): void {
    this.revisions.delete(failureDomain);
    this.update();
  }

  /** Replaces all orders with those of a newer snapshot. */
  replace(evacuations: readonly Evacuation[]): void {
    this.revisions.clear();
    for (const {failureDomain, revision} of evacuations) {
      this.revisions.set(failureDomain, revision);
    }
    this.update();
  }

  /** True if a domain has changed since `takeChanged` was last called. */
  get hasChanged(): boolean {
    return this.isChanged;
  }

  /** Returns and clears whether a domain has changed. */
  takeChanged(): boolean {
    const {isChanged} = this;
    this.isChanged = false;
    return isChanged;
  }

  private update(): void {
    const before = this.digest;
    this.domains = new Set(this.revisions.keys());
    this.isChanged ||= before !== this.digest;
  }
}
