/**
 * Readiness checks of entry VMs, as a load balancer in front of them does them.
 *
 * @packageDocumentation
 */
import {request as sendRequest} from 'undici';

/** Interval between readiness checks. */
const CHECK_INTERVAL_MS = 100;

/** Time after which a check counts as failed. */
const CHECK_TIMEOUT_MS = 500;

/** Address of an entry VM's caller port. */
export interface Entry {
  readonly host: string;
  readonly port: number;
}

/** Polls `/readyz` of each entry VM. */
export class EntryReadiness {
  private readonly notReady = new Set<Entry>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param entries - caller ports
   * @param readyPorts - operator ports in the same order; empty to disable
   *     checks
   */
  constructor(
    private readonly entries: readonly Entry[],
    private readonly readyPorts: readonly number[],
  ) {}

  /** Checks all entries once, then repeats the checks at an interval. */
  async start(): Promise<void> {
    if (this.readyPorts.length > 0) {
      await this.checkAll();
      this.timer = setInterval(() => void this.checkAll(), CHECK_INTERVAL_MS);
    }
  }

  /** Stops the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the entries that passed their last check, or all if none did. */
  usableEntries(): readonly Entry[] {
    const ready = this.entries.filter(entry => !this.notReady.has(entry));
    return ready.length > 0 ? ready : this.entries;
  }

  private async checkAll(): Promise<void> {
    await Promise.all(
      this.entries.map(async (entry, i) => {
        if (await isReady(entry.host, this.readyPorts[i] ?? 0)) {
          this.notReady.delete(entry);
        } else {
          this.notReady.add(entry);
        }
      }),
    );
  }
}

async function isReady(host: string, port: number): Promise<boolean> {
  try {
    const response = await sendRequest(`http://${host}:${port}/readyz`, {
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
