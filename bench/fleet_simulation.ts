/**
 * One simulated run of a fleet of entry VMs with their targets and callers.
 *
 * @packageDocumentation
 */
import {SeededRandom} from '../src/core/index.js';
import type {Outcome} from '../src/engine/index.js';
import type {ListedVm, VmListDocument} from '../src/preset/index.js';
import {type Copy, Demand, type Job} from './demand.js';
import {EventQueue} from './event_queue.js';
import {FakeTarget} from './fake_target.js';
import {FleetFigures} from './fleet_figures.js';
import type {Incident, Scenario} from './fleet_scenario.js';
import {domainOf, SimulatedVm, type VmSurroundings} from './simulated_vm.js';

/** Entry VMs of both deployments. */
export const VM_COUNT = 24;

/** Demand starts once the VMs know each other. */
const DEMAND_START_MS = 2_500;

/** Time for the last requests to end. */
const DRAIN_MS = 4_000;

/** Distance between two samples of the queues. */
const SAMPLE_MS = 25;

/** Time until a caller notices that a VM is gone or its request was late. */
const RESEND_MIN_MS = 20;
const RESEND_SPREAD_MS = 80;

/** Callers of a poisoned request do not give up early. */
const POISON_COPIES = 40;

/** Time until the VM list shows that a target leaves. */
const LIST_LAG_MS = 5_000;

/**
 * Runs a scenario.
 *
 * @param scenario - the run
 * @returns its figures
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
  private readonly callers: SeededRandom;
  private readonly surroundings: VmSurroundings;
  private vmList: VmListDocument;
  private isSplit = false;

  constructor(private readonly scenario: Scenario) {
    const {seed, deployment} = scenario;
    const service = scenario.preset.services.get(deployment.service);
    const neighbours = new SeededRandom({seed: seed + 1});
    this.demand = new Demand(scenario, new SeededRandom({seed}));
    this.callers = new SeededRandom({seed: seed + 3});
    const listed = Array.from({length: deployment.targetCount}, (_, index) =>
      listTarget(scenario, index),
    );
    this.vmList = {vms: listed};
    for (const target of listed) {
      const options = {
        listed: target,
        slots: service?.slotsPerTarget ?? 1,
        queueLimit: scenario.targetQueue,
        events: this.events,
        random: neighbours,
        endMs: scenario.endMs + DRAIN_MS,
      };
      this.targets.set(target.id, new FakeTarget(options));
    }
    this.surroundings = {
      scenario,
      events: this.events,
      random: new SeededRandom({seed: seed + 2}),
      figures: this.figures,
      targets: this.targets,
      reach: (from, index) => this.reach(from, index),
      onOutcome: (copy, outcome, nowMs) => this.onOutcome(copy, outcome, nowMs),
    };
    for (let index = 0; index < VM_COUNT; index += 1) {
      this.vms.push(this.startVm(index, 0, 0));
    }
  }

  run(): FleetFigures {
    this.scheduleArrival(DEMAND_START_MS);
    this.scenario.incidents.forEach(incident =>
      this.events.add(incident.atMs, nowMs => this.cause(incident, nowMs)),
    );
    this.events.add(0, nowMs => this.sample(nowMs));
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
      surroundings: this.surroundings,
    });
  }

  private reach(from: SimulatedVm, index: number): SimulatedVm | undefined {
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
    const vm = this.vms[this.callers.nextInt(VM_COUNT)];
    const copy = this.demand.copyOf(job, nowMs);
    if (vm?.isUp === true) {
      vm.onCopy(copy, nowMs);
    } else {
      // Nothing accepts the connection, so nothing ran.
      this.resend(job, nowMs + this.pauseMs());
    }
  }

  private onOutcome(copy: Copy, outcome: Outcome, nowMs: number): void {
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
      copy.isToldNotRun = true;
      this.figures.notRunThatRan += copy.hasRun ? 1 : 0;
    } else {
      job.isNotRun = false;
    }
    const isFinal = status === 404 || status === 409 || status === 422;
    if (isFinal || !this.mayResend(job)) {
      this.endJob(job, false, nowMs);
      return;
    }
    const pauseMs =
      retryAfterSeconds === undefined
        ? this.pauseMs()
        : retryAfterSeconds * (750 + 500 * this.callers.nextFloat());
    this.resend(job, nowMs + pauseMs);
  }

  private mayResend(job: Job): boolean {
    const maxCopies = job.isPoisoned ? POISON_COPIES : this.scenario.maxCopies;
    return job.copyCount < maxCopies;
  }

  private pauseMs(): number {
    return RESEND_MIN_MS + RESEND_SPREAD_MS * this.callers.nextFloat();
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
    const spentMs = nowMs - job.arrivedMs;
    const micros = 1_000 * (isInTime ? spentMs : Math.max(spentMs, timeoutMs));
    if (!long) {
      this.figures.sliceAt(job.arrivedMs).latency.recordValue(micros);
    }
    if (isInTime) {
      const slice = this.figures.sliceAt(nowMs);
      slice.answered += 1;
      slice.worth += worth;
    }
    if (this.isCounted(job)) {
      const kind = this.figures.kind(name, worth);
      kind.inTime += isInTime ? 1 : 0;
      kind.latency.recordValue(micros);
    }
  }

  private sample(nowMs: number): void {
    const waiting = this.vms.reduce((sum, vm) => sum + vm.waitingCount, 0);
    const slice = this.figures.sliceAt(nowMs);
    slice.waiting = Math.max(slice.waiting, waiting);
    this.events.add(nowMs + SAMPLE_MS, atMs => this.sample(atMs));
  }

  private cause(incident: Incident, nowMs: number): void {
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
        return this.sendCopy(this.demand.poison(nowMs), nowMs);
    }
  }

  /** Ends a VM without notice and starts another at the same place. */
  private replaceVm(index: number, nowMs: number): void {
    const old = this.vms[index];
    if (old === undefined) {
      return;
    }
    old.isUp = false;
    for (const copy of old.open.values()) {
      copy.job.isNotRun = false;
      if (this.mayResend(copy.job)) {
        this.resend(copy.job, nowMs + this.pauseMs());
      } else {
        this.endJob(copy.job, false, nowMs);
      }
    }
    const bootCount = Number(old.membership.self.bootId.slice(1)) + 1;
    this.events.add(nowMs + 500, atMs => {
      this.vms[index] = this.startVm(index, bootCount, atMs);
    });
  }

  private drain(index: number, nowMs: number): void {
    const target = [...this.targets.values()][index];
    if (target === undefined) {
      return;
    }
    target.isDraining = true;
    this.events.add(nowMs + LIST_LAG_MS, atMs => {
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
