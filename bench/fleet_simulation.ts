/**
 * Simulates a run of a fleet of entry VMs with their targets and callers.
 *
 * @packageDocumentation
 */
import {SeededRandom} from '../src/core/index.js';
import type {RequestOutcome} from '../src/engine/index.js';
import type {ListedVm, VmListDocument} from '../src/preset/index.js';
import {type Copy, Demand, type Job} from './demand.js';
import {EventQueue} from './event_queue.js';
import {FakeTarget} from './fake_target.js';
import {FleetFigures} from './fleet_figures.js';
import type {Incident, Scenario} from './fleet_scenario.js';
import {domainOf, SimulatedVm, type VmEnvironment} from './simulated_vm.js';

/** Number of entry VMs in each deployment. */
export const VM_COUNT = 24;

/** Start of the demand, after the VMs have discovered each other. */
const DEMAND_START_MS = 2_500;

/** Time after the last arrival in which open requests end. */
const DRAIN_MS = 4_000;

/** Interval between two samples of the queue lengths. */
const SAMPLE_INTERVAL_MS = 25;

/** Delay until a caller detects that a VM crashed or its request was late. */
const RESEND_MIN_MS = 20;
const RESEND_SPREAD_MS = 80;

/** Maximum copies of a poisoned request; its caller does not give up early. */
const MAX_POISONED_COPIES = 40;

/** Delay until the VM list shows a draining target as leaving. */
const VM_LIST_LAG_MS = 5_000;

/**
 * Simulates a scenario.
 *
 * @param scenario - parameters of the run
 * @returns figures of the run
 */
export function simulateFleet(scenario: Scenario): FleetFigures {
  return new FleetSimulation(scenario).run();
}

class FleetSimulation {
  private readonly events = new EventQueue();
  private readonly figures = new FleetFigures();
  private readonly targets = new Map<string, FakeTarget>();
  private readonly vms: SimulatedVm[] = [];
  private readonly demand: Demand;
  private readonly callerRandom: SeededRandom;
  private readonly environment: VmEnvironment;
  private vmList: VmListDocument;
  private isSplit = false;

  constructor(private readonly scenario: Scenario) {
    const {seed, deployment} = scenario;
    const service = scenario.preset.services.get(deployment.service);
    const neighbourRandom = new SeededRandom({seed: seed + 1});
    this.demand = new Demand(scenario, new SeededRandom({seed}));
    this.callerRandom = new SeededRandom({seed: seed + 3});
    const listed = Array.from({length: deployment.targetCount}, (_, index) =>
      listTarget(scenario, index),
    );
    this.vmList = {vms: listed};
    for (const target of listed) {
      const options = {
        listed: target,
        slots: service?.slotsPerTarget ?? 1,
        queueLimit: scenario.targetQueueLimit,
        events: this.events,
        random: neighbourRandom,
        endMs: scenario.endMs + DRAIN_MS,
      };
      this.targets.set(target.id, new FakeTarget(options));
    }
    this.environment = {
      scenario,
      events: this.events,
      random: new SeededRandom({seed: seed + 2}),
      figures: this.figures,
      targets: this.targets,
      findReachableVm: (from, index) => this.findReachableVm(from, index),
      onOutcome: (copy, outcome, nowMs) => this.onOutcome(copy, outcome, nowMs),
    };
    for (let index = 0; index < VM_COUNT; index += 1) {
      this.vms.push(this.startVm(index, 0, 0));
    }
  }

  run(): FleetFigures {
    this.scheduleArrival(DEMAND_START_MS);
    this.scenario.incidents.forEach(incident =>
      this.events.add(incident.atMs, nowMs =>
        this.applyIncident(incident, nowMs),
      ),
    );
    this.events.add(0, nowMs => this.sampleQueues(nowMs));
    this.events.runUntil(this.scenario.endMs + DRAIN_MS);
    this.figures.probedMs = [...this.targets.values()]
      .flatMap(target => target.probedMs)
      .sort((a, b) => a - b);
    for (const target of this.targets.values()) {
      this.figures.crashes += target.crashCount;
    }
    return this.figures;
  }

  private startVm(
    index: number,
    incarnation: number,
    startMs: number,
  ): SimulatedVm {
    return new SimulatedVm({
      index,
      incarnation,
      vmCount: VM_COUNT,
      vmList: this.vmList,
      startMs,
      environment: this.environment,
    });
  }

  private findReachableVm(
    from: SimulatedVm,
    index: number,
  ): SimulatedVm | undefined {
    const vm = this.vms[index];
    const isCut = this.isSplit && (from.index - index) % 2 !== 0;
    return vm?.isUp === true && !isCut ? vm : undefined;
  }

  private scheduleArrival(nowMs: number): void {
    const atMs = this.demand.nextArrivalMs(nowMs);
    if (atMs >= this.scenario.endMs) {
      return;
    }
    this.events.add(atMs, () => {
      const job = this.demand.draw(atMs);
      this.scheduleArrival(atMs);
      this.countOffered(job);
      this.sendCopy(job, atMs);
    });
  }

  private isCounted(job: Job): boolean {
    return !job.isPoisoned && job.arrivedMs >= this.scenario.warmUpMs;
  }

  private countOffered(job: Job): void {
    const {kind, worth} = job;
    if (this.isCounted(job)) {
      this.figures.kind(kind.name, worth).offered += 1;
    }
    this.figures.sliceAt(job.arrivedMs).worthOffered += worth;
  }

  private sendCopy(job: Job, nowMs: number): void {
    const vm = this.vms[this.callerRandom.nextInt(VM_COUNT)];
    const copy = this.demand.createCopy(job, nowMs);
    if (vm?.isUp === true) {
      vm.onCopy(copy, nowMs);
    } else {
      // No VM accepts the connection, so the request has not run.
      this.resend(job, nowMs + this.resendDelayMs());
    }
  }

  private onOutcome(copy: Copy, outcome: RequestOutcome, nowMs: number): void {
    const {job} = copy;
    if (outcome.type === 'response') {
      const isInTime = nowMs - copy.arrivedMs <= job.kind.timeoutMs;
      this.endJob(job, isInTime, nowMs);
      return;
    }
    const {status, verdict, reason, retryAfterSeconds} = outcome;
    if (this.isCounted(job)) {
      this.figures.countRefusal(reason);
    }
    if (verdict === 'not-run') {
      copy.isReportedNotRun = true;
      this.figures.notRunThatRan += copy.hasRun ? 1 : 0;
    } else {
      job.isNotRun = false;
    }
    const isFinal = status === 404 || status === 409 || status === 422;
    if (isFinal || !this.mayResend(job)) {
      this.endJob(job, false, nowMs);
      return;
    }
    const delayMs =
      retryAfterSeconds === undefined
        ? this.resendDelayMs()
        : retryAfterSeconds * (750 + 500 * this.callerRandom.nextFloat());
    this.resend(job, nowMs + delayMs);
  }

  private mayResend(job: Job): boolean {
    const maxCopies = job.isPoisoned
      ? MAX_POISONED_COPIES
      : this.scenario.maxCopies;
    return job.copyCount < maxCopies;
  }

  private resendDelayMs(): number {
    return RESEND_MIN_MS + RESEND_SPREAD_MS * this.callerRandom.nextFloat();
  }

  private resend(job: Job, atMs: number): void {
    this.events.add(atMs, nowMs => this.sendCopy(job, nowMs));
  }

  private endJob(job: Job, isInTime: boolean, nowMs: number): void {
    if (job.isAnswered || job.isPoisoned) {
      return;
    }
    job.isAnswered = true;
    const {worth} = job;
    const {name, timeoutMs, long} = job.kind;
    const elapsedMs = nowMs - job.arrivedMs;
    const latencyUs =
      1_000 * (isInTime ? elapsedMs : Math.max(elapsedMs, timeoutMs));
    if (!long) {
      this.figures.sliceAt(job.arrivedMs).latency.recordValue(latencyUs);
    }
    if (isInTime) {
      const slice = this.figures.sliceAt(nowMs);
      slice.answered += 1;
      slice.worth += worth;
    }
    if (this.isCounted(job)) {
      const kind = this.figures.kind(name, worth);
      kind.inTime += isInTime ? 1 : 0;
      kind.latency.recordValue(latencyUs);
    }
  }

  private sampleQueues(nowMs: number): void {
    const waiting = this.vms.reduce((sum, vm) => sum + vm.waitingCount, 0);
    const slice = this.figures.sliceAt(nowMs);
    slice.waiting = Math.max(slice.waiting, waiting);
    this.events.add(nowMs + SAMPLE_INTERVAL_MS, atMs =>
      this.sampleQueues(atMs),
    );
  }

  private applyIncident(incident: Incident, nowMs: number): void {
    switch (incident.type) {
      case 'split':
        this.isSplit = true;
        this.events.add(incident.untilMs, () => {
          this.isSplit = false;
        });
        return;
      case 'replace-vm':
        return this.replaceVm(incident.vm, nowMs);
      case 'drain':
        return this.drain(incident.target, nowMs);
      case 'poison':
        return this.sendCopy(this.demand.createPoisoned(nowMs), nowMs);
    }
  }

  /** Crashes a VM and later starts its replacement at the same index. */
  private replaceVm(index: number, nowMs: number): void {
    const oldVm = this.vms[index];
    if (oldVm === undefined) {
      return;
    }
    oldVm.isUp = false;
    for (const copy of oldVm.openCopies.values()) {
      copy.job.isNotRun = false;
      if (this.mayResend(copy.job)) {
        this.resend(copy.job, nowMs + this.resendDelayMs());
      } else {
        this.endJob(copy.job, false, nowMs);
      }
    }
    const incarnation = Number(oldVm.membership.self.bootId.slice(1)) + 1;
    this.events.add(nowMs + 500, atMs => {
      this.vms[index] = this.startVm(index, incarnation, atMs);
    });
  }

  private drain(index: number, nowMs: number): void {
    const target = [...this.targets.values()][index];
    if (target === undefined) {
      return;
    }
    target.isDraining = true;
    this.events.add(nowMs + VM_LIST_LAG_MS, atMs => {
      const vms = this.vmList.vms.map(vm =>
        vm.id === target.listed.id ? {...vm, state: 'leaving' as const} : vm,
      );
      this.vmList = {vms};
      this.vms.forEach(vm => vm.isUp && vm.onVmList(this.vmList, atMs));
    });
  }
}

function listTarget(scenario: Scenario, index: number): ListedVm {
  return {
    id: `t-${String(index).padStart(2, '0')}`,
    role: 'target',
    service: scenario.deployment.service,
    host: '10.0.1.1',
    port: 9_000 + index,
    failureDomain: domainOf(scenario, index),
    state: 'live',
  };
}
