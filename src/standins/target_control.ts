/**
 * Control port of a target process, for tests and benchmarks.
 *
 * @packageDocumentation
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {z} from 'zod';
import {readBody} from './standin_http.js';
import type {TargetLedger} from './target_ledger.js';
import {
  NO_FAULTS,
  type DrainSign,
  type TargetStandin,
} from './target_standin.js';

const commandSchema = z.object({
  /** Target id; all targets of the process if absent. */
  target: z.string().optional(),
  action: z.enum([
    // Only adds an entry to the ledger.
    'mark',
    'drain',
    'drain-by-header',
    'drain-by-refusal',
    'drain-by-load',
    'fail-fast',
    'refuse',
    'truncate',
    'slow',
    'state-load',
    'silence',
    'crash',
    'heal',
  ]),
  /** Factor for `slow`, reported load for `state-load`. */
  value: z.number().optional(),
});

/** Drain signs that each drain action switches on. */
const DRAIN_SIGNS = {
  drain: ['header', 'refusal', 'load'],
  'drain-by-header': ['header'],
  'drain-by-refusal': ['refusal'],
  'drain-by-load': ['load'],
} as const satisfies Record<string, readonly DrainSign[]>;

/**
 * Creates the control server. `GET /ledger` returns the ledger; `POST /control`
 * runs a command `{"target", "action", "value"}`.
 *
 * @param targets - targets of the process
 * @param ledger - ledger of the process
 * @returns a server that is not listening yet
 *
 * @example
 * ```ts
 * createControlServer(targets, ledger).listen(9_000, '127.0.0.1');
 * ```
 */
export function createControlServer(
  targets: readonly TargetStandin[],
  ledger: TargetLedger,
): Server {
  const handle = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const body = await readBody(request);
    if (request.method === 'GET') {
      response.end(JSON.stringify(ledger));
      return;
    }
    const [status, answer] = runCommand(targets, ledger, body.toString());
    response.statusCode = status;
    response.end(answer);
  };
  return createServer((request, response) => {
    handle(request, response).catch(() => request.destroy());
  });
}

/** Runs a command; returns the status code and body of the response. */
function runCommand(
  targets: readonly TargetStandin[],
  ledger: TargetLedger,
  body: string,
): [number, string] {
  try {
    const {target, action, value} = commandSchema.parse(JSON.parse(body));
    for (const standin of targets) {
      if (target === undefined || standin.id === target) {
        ledger.recordControl(standin.id, action);
        applyAction(standin, action, value);
      }
    }
    return [200, '{}'];
  } catch (error) {
    return [400, JSON.stringify({error: String(error)})];
  }
}

/** Applies an action to one target. */
function applyAction(
  standin: TargetStandin,
  action: z.output<typeof commandSchema>['action'],
  value: number | undefined,
): void {
  const {faults} = standin;
  switch (action) {
    case 'mark':
      break;
    case 'drain':
    case 'drain-by-header':
    case 'drain-by-refusal':
    case 'drain-by-load':
      faults.drainSigns = DRAIN_SIGNS[action];
      break;
    case 'fail-fast':
      faults.failFast = true;
      break;
    case 'refuse':
      faults.refuseAll = true;
      break;
    case 'truncate':
      faults.truncate = true;
      break;
    case 'slow':
      faults.slowFactor = value ?? 10;
      break;
    case 'state-load':
      faults.loadOverride = value;
      break;
    case 'silence':
      standin.silenceConnections();
      break;
    case 'crash':
      standin.crash();
      break;
    case 'heal':
      Object.assign(faults, NO_FAULTS);
      break;
  }
}
