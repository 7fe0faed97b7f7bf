/**
 * Documents of the platform stand-in and their history. Pure.
 *
 * @packageDocumentation
 */
import type {InstantMs} from '../core/index.js';
import type {DocumentName} from '../preset/index.js';

/** One publication. */
export interface Publication {
  /** Rises by one with each publication of any document. */
  readonly platformVersion: number;
  readonly body: Buffer;
  /** Instant of the publication. */
  readonly publishedMs: InstantMs;
}

/**
 * All publications of both documents.
 *
 * @example
 * ```ts
 * const version = documents.publish('config', body, clock.nowMs());
 * ```
 */
export class PlatformDocuments {
  private readonly history = new Map<DocumentName, readonly Publication[]>();
  private lastVersion = 0;

  /**
   * Publishes a document. The platform does not look into it.
   *
   * @param name - name of the document
   * @param body - any bytes
   * @param nowMs - current instant in milliseconds
   * @returns the platform version
   */
  publish(name: DocumentName, body: Buffer, nowMs: InstantMs): number {
    this.lastVersion++;
    const platformVersion = this.lastVersion;
    const publication = {platformVersion, body, publishedMs: nowMs};
    this.history.set(name, [...this.all(name), publication]);
    return platformVersion;
  }

  /**
   * Finds the newest publication.
   *
   * @param name - name of the document
   * @param untilMs - only publications up to this instant count
   * @returns the publication, or undefined if there is none
   */
  newest(name: DocumentName, untilMs: InstantMs): Publication | undefined {
    return this.all(name)
      .filter(entry => entry.publishedMs <= untilMs)
      .at(-1);
  }

  /**
   * Finds the first publication.
   *
   * @param name - name of the document
   * @returns the publication, or undefined if there is none
   */
  oldest(name: DocumentName): Publication | undefined {
    return this.all(name)[0];
  }

  /** Publications in order. */
  private all(name: DocumentName): readonly Publication[] {
    return this.history.get(name) ?? [];
  }
}
