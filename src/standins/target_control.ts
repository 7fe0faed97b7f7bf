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

const command = z.object({
  /** Target id; absent for all targets of the process. */
  target: z.string().optional(),
  action: z.enum([
    // No effect but an entry in the ledger.
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
  /** Factor of `slow`, load of `state-load`. */
  value: z.number().optional(),
});

/** Signs that each kind of drain shows. */
const DRAIN_SIGNS = {
  drain: ['header', 'refusal', 'load'],
  'drain-by-header': ['header'],
  'drain-by-refusal': ['refusal'],
  'drain-by-load': ['load'],
} as const satisfies Record<string, readonly DrainSign[]>;

/**
 * Creates the control server: `GET /ledger`, and `POST /control` with
 * `{"target", "action", "value"}`.
 *
 * @param targets - targets of the process
 * @param ledger - ledger of the process
 * @returns a server that does not listen yet
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

function runCommand(
  targets: readonly TargetStandin[],
  ledger: TargetLedger,
  body: string,
): [number, string] {
  try {
    const {target, action, value} = command.parse(JSON.parse(body));
    for (const standin of targets) {
      if (target === undefined || standin.id === target) {
        ledger.recordControl(standin.id, action);
        apply(standin, action, value);
      }
    }
    return [200, '{}'];
  } catch (error) {
    return [400, JSON.stringify({error: String(error)})];
  }
}

function apply(
  standin: TargetStandin,
  action: z.output<typeof command>['action'],
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
      faults.statedLoad = value;
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
