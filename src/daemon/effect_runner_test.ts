import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import bunyan from 'bunyan';
import {
  CallerServer,
  DEFAULT_CALLER_LIMITS,
  Exchange,
  NativeCallerProtocol,
} from '../caller_http/index.js';
import {ManualClock} from '../core/index.js';
import type {
  CallerRequest,
  AttemptSignal,
  Effect,
  RequestEngine,
  RequestOutcome,
} from '../engine/index.js';
import {
  TargetResponse,
  type SendOptions,
  type TargetClient,
} from '../target_http/index.js';
import type {ClaimRouter} from './claim_router.js';
import {ComponentLog} from './component_log.js';
import {DaemonMetrics} from './daemon_metrics.js';
import {EffectRunner} from './effect_runner.js';
import type {EventLog} from './event_log.js';

/** Records answers instead of writing them to sockets. */
class RecordingServer extends CallerServer {
  readonly answers: [string, RequestOutcome, TargetResponse | undefined][] = [];
  readonly open = new Map<string, Exchange>();

  override find(requestId: string): Exchange | undefined {
    return this.open.get(requestId);
  }

  override respond(
    requestId: string,
    outcome: RequestOutcome,
    response: TargetResponse | undefined,
  ): void {
    this.open.delete(requestId);
    this.answers.push([requestId, outcome, response]);
  }
}

interface Fixture {
  readonly runner: EffectRunner;
  readonly server: RecordingServer;
  readonly sends: SendOptions[];
  readonly cancelled: string[];
  readonly open: (requestId: string) => Exchange;
}

function createFixture(
  engine: Partial<RequestEngine>,
  onSend: (options: SendOptions) => void = () => undefined,
): Fixture {
  const sends: SendOptions[] = [];
  const cancelled: string[] = [];
  const clock = new ManualClock();
  const runner = new EffectRunner({
    clock,
    engine: engine as RequestEngine,
    targets: {
      send: (options: SendOptions) => {
        sends.push(options);
        onSend(options);
      },
      cancel: (token: string) => cancelled.push(token),
    } as unknown as TargetClient,
    peers: {cancel: () => undefined} as unknown as TargetClient,
    claims: {} as ClaimRouter,
    events: {} as EventLog,
    metrics: new DaemonMetrics(),
    log: new ComponentLog(
      bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1}),
      'test',
    ),
    publish: () => undefined,
  });
  const limits = DEFAULT_CALLER_LIMITS;
  const protocol = new NativeCallerProtocol();
  const server = new RecordingServer({
    clock,
    limits,
    protocol,
    listener: runner,
  });
  runner.attach(server);
  const open = (requestId: string): Exchange => {
    const request: CallerRequest = {
      requestId,
      service: 's',
      method: 'GET',
      path: '/',
      fingerprint: 'f',
      resourceFingerprint: 'f',
      bodySizeBytes: 0,
      idempotencyKey: undefined,
      attempt: undefined,
      deadlineMs: undefined,
    };
    const response = {} as ServerResponse;
    const exchange = new Exchange(
      request,
      [],
      undefined,
      response,
      {
        beforeHead: () => undefined,
        onResponded: () => undefined,
        holdAnswer: () => true,
        streamAnswer: () => assert.fail('nothing is streamed'),
      },
      protocol,
    );
    server.open.set(requestId, exchange);
    return exchange;
  };
  return {runner, server, sends, cancelled, open};
}

function createSendEffect(token: string, requestId: string): Effect {
  return {
    type: 'send',
    token,
    requestId,
    targetId: 't',
    host: '127.0.0.1',
    port: 1,
    freshness: 'any',
    maxConnections: 1,
    silenceLimitMs: undefined,
    deadlineMs: 1_000,
  };
}

function createResponse(token: string): TargetResponse {
  const response = new TargetResponse(
    token,
    200,
    {},
    {
      pause: () => undefined,
      resume: () => undefined,
      abort: () => undefined,
    },
  );
  response.finish();
  return response;
}

const ANSWERED: AttemptSignal = {
  type: 'response',
  status: 200,
  refused: false,
  draining: false,
  inFlight: undefined,
};

test('an engine exception answers only its own request, as may-have-run', () => {
  // A bug in the handling of one request must not end the process or leave the
  // caller waiting. Whether the request ran is unknown, so not-run would be
  // false.
  const {runner, server, open} = createFixture({
    onRequest: request => {
      if (request.requestId === 'bad') {
        throw new Error('bug');
      }
      return [];
    },
  });
  runner.onRequest(open('good'));
  runner.onRequest(open('bad'));
  assert.equal(server.answers.length, 1);
  const [requestId, outcome] = server.answers[0]!;
  assert.equal(requestId, 'bad');
  assert.ok(outcome.type === 'refusal' && outcome.verdict === 'may-have-run');
});

test('a response never answers another request', () => {
  // The engine may return an outcome with the token of another request.
  const {runner, server, sends, open} = createFixture({
    onAttemptSignal: token =>
      token === 'a1'
        ? [
            {
              type: 'respond',
              requestId: 'b',
              outcome: {type: 'response', token: 'a1'},
            },
          ]
        : [],
  });
  open('a');
  open('b');
  runner.feed(() => [createSendEffect('a1', 'a'), createSendEffect('b1', 'b')]);
  sends[0]!.listener(ANSWERED, createResponse('a1'));
  assert.deepEqual(
    server.answers.map(([id, , response]) => [id, response]),
    [['b', undefined]],
  );
});

test('a cancellation on sent takes effect before the first byte', () => {
  // A request must not be written after its deadline.
  let cancelledInTime = false;
  const {runner, cancelled, open} = createFixture(
    {
      onAttemptSignal: (token, signal) =>
        signal.type === 'sent' ? [{type: 'cancel', token}] : [],
    },
    // An idle connection reports sent while the send effect is executed.
    options => {
      options.listener({type: 'sent'}, undefined);
      cancelledInTime = cancelled.includes('a1');
    },
  );
  open('a');
  runner.feed(() => [createSendEffect('a1', 'a')]);
  assert.ok(cancelledInTime);
});

test('a request whose caller has disconnected is not sent', () => {
  // The caller may disconnect while the send effect is queued.
  const signals: AttemptSignal[] = [];
  const {runner, sends} = createFixture({
    onAttemptSignal: (_token, signal) => {
      signals.push(signal);
      return [];
    },
  });
  runner.feed(() => [createSendEffect('a1', 'gone')]);
  assert.equal(sends.length, 0);
  assert.deepEqual(signals, [{type: 'cancelled', bytesSent: false}]);
});

test('effects keep their order when inputs are nested', () => {
  // A response during an effect must not overtake the effects queued before it.
  const {runner, open, server, cancelled} = createFixture(
    {
      onAttemptSignal: token => [
        {type: 'respond', requestId: 'a', outcome: {type: 'response', token}},
      ],
    },
    options => options.listener(ANSWERED, createResponse('a1')),
  );
  open('a');
  const answersAtCancel: number[] = [];
  cancelled.push = () => answersAtCancel.push(server.answers.length);
  runner.feed(() => [
    createSendEffect('a1', 'a'),
    {type: 'cancel', token: 'x'},
  ]);
  assert.deepEqual(answersAtCancel, [0]);
  assert.equal(server.answers[0]?.[2]?.token, 'a1');
});
