/**
 * Documents of the platform stand-in with their history; performs no I/O.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {DocumentName} from '../preset/index.js';

/** One published version of a document. */
export interface Publication {
  /** Increases by one with each publication of any document in an era. */
  readonly platformVersion: number;
  readonly body: Buffer;
  /** Instant of the publication, in milliseconds. */
  readonly publishedMs: InstantMs;
}

/**
 * Stores all publications of each document.
 *
 * @example
 * ```ts
 * const version = documents.publish('config', body, clock.nowMs());
 * ```
 */
export class PlatformDocuments {
  private readonly history = new Map<DocumentName, readonly Publication[]>();
  private lastVersion = 0;
  private currentEra = 1;

  /** Number of restores so far, plus one. */
  get era(): number {
    return this.currentEra;
  }

  /** Version of the latest publication. */
  get latestVersion(): number {
    return this.lastVersion;
  }

  /**
   * Returns to an earlier version, in a new era.
   *
   * @param platformVersion - latest version to keep
   */
  restore(platformVersion: number): void {
    this.currentEra++;
    this.lastVersion = Math.min(this.lastVersion, platformVersion);
    for (const [name, publications] of this.history) {
      const kept = publications.filter(
        entry => entry.platformVersion <= platformVersion,
      );
      this.history.set(name, kept);
    }
  }

  /**
   * Publishes a document. Its content is not parsed, as on the platform.
   *
   * @param name - name of the document
   * @param body - content
   * @param nowMs - current instant in milliseconds
   * @returns the platform version
   */
  publish(name: DocumentName, body: Buffer, nowMs: InstantMs): number {
    this.lastVersion++;
    const platformVersion = this.lastVersion;
    const publication = {platformVersion, body, publishedMs: nowMs};
    this.history.set(name, [...this.publications(name), publication]);
    return platformVersion;
  }

  /**
   * Returns the newest publication.
   *
   * @param name - name of the document
   * @param untilMs - later publications than this instant are ignored
   * @returns the publication, or undefined if there is none
   */
  newest(name: DocumentName, untilMs: InstantMs): Publication | undefined {
    return this.publications(name)
      .filter(entry => entry.publishedMs <= untilMs)
      .at(-1);
  }

  /**
   * Returns the first publication.
   *
   * @param name - name of the document
   * @returns the publication, or undefined if there is none
   */
  oldest(name: DocumentName): Publication | undefined {
    return this.publications(name)[0];
  }

  /** Returns the publications of a document, oldest first. */
  private publications(name: DocumentName): readonly Publication[] {
    return this.history.get(name) ?? [];
  }
}
