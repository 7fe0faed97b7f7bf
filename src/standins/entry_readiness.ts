/**
 * Which entry VMs get requests, as a balancer in front of them decides it.
 *
 * @packageDocumentation
 */
import {request as sendRequest} from 'undici';

/** Interval of the checks of one entry. */
const CHECK_MS = 100;

/** Time after which a check counts as failed. */
const CHECK_TIMEOUT_MS = 500;

/** An entry VM's caller port. */
export interface Entry {
  readonly host: string;
  readonly port: number;
}

/** Polls `/readyz` of each entry. */
export class EntryReadiness {
  private readonly notReady = new Set<Entry>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param entries - caller ports
   * @param readyPorts - operator ports in the same order; empty for no checks
   */
  constructor(
    private readonly entries: readonly Entry[],
    private readonly readyPorts: readonly number[],
  ) {}

  /** Checks all entries once and then at an interval. */
  async start(): Promise<void> {
    if (this.readyPorts.length > 0) {
      await this.checkAll();
      this.timer = setInterval(() => void this.checkAll(), CHECK_MS);
    }
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Lists the entries that were ready at their last check, or else all. */
  usable(): readonly Entry[] {
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
