//! Measures the processor time that a shard's decisions take, without any network.
//!
//! Simulates workers that answer every order and poll at once, while each queue in turn asks for
//! five times its mean, and prints the time by kind of work, per second of the simulated load and
//! per event. `RACK_STEPS` percent of the steps have a data rack, and as many again are gangs that
//! are fast only on one rack; remote runs take three times as long.
//!
//! ```sh
//! cargo run --release -p vanillafold-jobs --example shard_cost -- [WORKERS] [SECONDS] [ZONES] [RACK_STEPS]
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use vanillafold_jobs::{
    Catalogue, EndKind, Epoch, JobId, JobSpec, ListedEnd, ListedRun, Order, OrderAnswer,
    OrganisationInfo, PollPlan, PollReport, PoolInfo, QueueInfo, Resources, RunNumber, Settings,
    Shard, StepSpec, SubmitOutcome, TaskId, Vm, VmOperation, VmState, Wave, WorkerEntry, WorkerId,
};
use vanillafold_policy::{MonotonicMillis, SplitMix};

const POOLS: usize = 5;
const ORGANISATIONS: u64 = 60;
const RACK_VMS: usize = 12;
/// Jobs a second and worker of the whole fleet, as on the users' largest site.
const JOBS_PER_WORKER_S: f64 = 0.12;
/// Time for which one queue asks for most of the work, in milliseconds.
const TURN_MS: u64 = 1_000;
const PASS_INTERVAL_MS: u64 = 4;
const LIST_INTERVAL_MS: u64 = 100;
const VM_LIST_INTERVAL_MS: u64 = 500;
const MOVE_MS: u64 = 1_500;

/// A worker of the simulation and its VM.
struct SimWorker {
    vm: String,
    id: WorkerId,
    pool: usize,
    rack: String,
    zone: String,
    /// When the VM is back in service; 0 if it is in service.
    back_at_ms: u64,
    incarnation: u64,
    runs: Vec<(TaskId, RunNumber, u64)>,
    ended: Vec<ListedEnd>,
    last_end: u64,
}

/// Time and number of events of one kind of work.
#[derive(Default)]
struct Cost {
    time: Duration,
    count: u64,
}

#[derive(Default)]
struct Costs(BTreeMap<&'static str, Cost>);

impl Costs {
    fn measure<T>(&mut self, kind: &'static str, act: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let result = act();
        let cost = self.0.entry(kind).or_default();
        cost.time += began.elapsed();
        cost.count += 1;
        result
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        let text = arguments.next();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let workers = usize::try_from(number(1_100)).unwrap_or(usize::MAX);
    let seconds = number(8);
    let zones = usize::try_from(number(3).max(1)).unwrap_or(1);
    let rack_steps = number(0);
    let mut simulation = Simulation::new(workers, zones, rack_steps);
    simulation.run(seconds * 1_000);
    let total: Duration = simulation.costs.0.values().map(|cost| cost.time).sum();
    println!(
        "{workers} workers in {zones} zones, {rack_steps} % rack steps, {seconds} s of load, {} starts",
        simulation.starts
    );
    println!(
        "{:<12} {:>10} {:>12} {:>14}",
        "work", "events", "us an event", "ms a second"
    );
    for (kind, cost) in &simulation.costs.0 {
        let us = cost.time.as_secs_f64() * 1e6;
        #[allow(clippy::cast_precision_loss)]
        let (per_event, per_second) = (us / cost.count as f64, us / 1e3 / seconds as f64);
        println!(
            "{kind:<12} {:>10} {per_event:>12.2} {per_second:>14.2}",
            cost.count
        );
    }
    #[allow(clippy::cast_precision_loss)]
    let per_start = total.as_secs_f64() * 1e6 / simulation.starts.max(1) as f64;
    println!("all decisions: {per_start:.1} us a start");
}

struct Simulation {
    shard: Shard,
    workers: Vec<SimWorker>,
    random: SplitMix,
    costs: Costs,
    starts: u64,
    next_job: u64,
    arrivals: f64,
    /// Percentage of steps with a data rack, and of gangs that are fast only on one rack.
    rack_steps: u64,
}

impl Simulation {
    fn new(count: usize, zones: usize, rack_steps: u64) -> Self {
        let now = at(0);
        let mut shard = Shard::load(settings(), Epoch::new(1), Vec::new(), now, 0);
        shard.set_catalogue(catalogue());
        shard.set_evacuated_zones(&[], MonotonicMillis::ZERO);
        let workers: Vec<SimWorker> = (0..count).map(|at| sim_worker(at, zones)).collect();
        shard.add_wave(wave(&workers), now);
        let mut simulation = Self {
            shard,
            workers,
            random: SplitMix::new(1),
            costs: Costs::default(),
            starts: 0,
            next_job: 1,
            arrivals: 0.0,
            rack_steps,
        };
        simulation.list_workers(0);
        simulation.list_vms(0);
        simulation.costs = Costs::default();
        simulation
    }

    fn run(&mut self, until_ms: u64) {
        for now_ms in 1..=until_ms {
            self.finish_tasks(now_ms);
            self.submit_jobs(now_ms);
            if now_ms.is_multiple_of(LIST_INTERVAL_MS) {
                self.list_workers(now_ms);
            }
            if now_ms.is_multiple_of(VM_LIST_INTERVAL_MS) {
                self.list_vms(now_ms);
            }
            self.poll_workers(now_ms);
            if now_ms.is_multiple_of(PASS_INTERVAL_MS) {
                self.schedule(now_ms);
            }
        }
    }

    fn finish_tasks(&mut self, now_ms: u64) {
        for worker in &mut self.workers {
            for (task, run, _) in worker.runs.extract_if(.., |run| run.2 <= now_ms) {
                worker.last_end += 1;
                worker.ended.push(ListedEnd {
                    number: worker.last_end,
                    task,
                    run,
                    kind: EndKind::Done,
                    checkpoint: String::new(),
                });
            }
        }
    }

    fn submit_jobs(&mut self, now_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let per_ms = self.workers.len() as f64 * JOBS_PER_WORKER_S / 1_000.0;
        self.arrivals += per_ms;
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            let queue = usize::try_from(now_ms / TURN_MS).unwrap_or(0) % (POOLS - 1);
            let mut spec = job(queue, &mut self.random, now_ms);
            self.add_racks(&mut spec);
            let id: JobId = format!("{:016x}", self.next_job).parse().expect("a job id");
            self.next_job += 1;
            let shard = &mut self.shard;
            let submit = || shard.submit(id, spec, at(now_ms), now_ms);
            let outcome = self.costs.measure("submit", submit);
            if matches!(outcome, SubmitOutcome::Refused { .. }) {
                self.costs.0.entry("refused").or_default().count += 1;
            }
        }
        while let Some(batch) = self.costs.measure("batch", || self.shard.take_batch()) {
            self.costs
                .measure("stored", || self.shard.batch_stored(&batch));
        }
    }

    fn add_racks(&mut self, spec: &mut JobSpec) {
        if self.rack_steps == 0 {
            return;
        }
        let racks = self.workers.len().div_ceil(RACK_VMS) as u64;
        for step in &mut spec.steps {
            match self.random.below(100) {
                drawn if drawn < self.rack_steps => {
                    step.data_rack = format!("r-{}", self.random.below(racks));
                }
                drawn if drawn < 2 * self.rack_steps => {
                    step.gang = true;
                    step.same_rack = true;
                }
                _ => {}
            }
        }
    }

    fn list_workers(&mut self, now_ms: u64) {
        let entries = self
            .workers
            .iter()
            .filter(|worker| worker.back_at_ms <= now_ms);
        let entries: Vec<WorkerEntry> = entries.map(entry).collect();
        let shard = &mut self.shard;
        self.costs
            .measure("worker list", || shard.set_workers(entries, at(now_ms)));
    }

    fn list_vms(&mut self, now_ms: u64) {
        let vms: Vec<Vm> = self
            .workers
            .iter()
            .map(|worker| vm(worker, now_ms))
            .collect();
        let shard = &mut self.shard;
        self.costs
            .measure("VM list", || shard.set_vms(vms, at(now_ms)));
    }

    fn poll_workers(&mut self, now_ms: u64) {
        for worker in &mut self.workers {
            if worker.back_at_ms > now_ms {
                continue;
            }
            let is_new = worker.last_end == 0 && worker.runs.is_empty();
            if worker.ended.is_empty() && !(is_new && now_ms.is_multiple_of(50)) {
                continue;
            }
            let shard = &mut self.shard;
            let plan = self
                .costs
                .measure("plan poll", || shard.plan_poll(&worker.id, at(now_ms)));
            let PollPlan::Poll {
                acknowledged_end, ..
            } = plan
            else {
                continue;
            };
            worker.ended.retain(|end| end.number > acknowledged_end);
            let report = PollReport {
                clock_ms: now_ms,
                started_unix_ms: Some(worker.incarnation),
                running: worker.runs.iter().map(|run| listed(run.0, run.1)).collect(),
                ended: worker.ended.clone(),
                ..PollReport::default()
            };
            self.costs.measure("poll", || {
                shard.poll_answered(&worker.id, &report, at(now_ms), at(now_ms), now_ms);
            });
        }
    }

    fn schedule(&mut self, now_ms: u64) {
        let shard = &mut self.shard;
        self.costs
            .measure("pass", || shard.schedule(at(now_ms), now_ms));
        for (id, order) in self.shard.take_orders() {
            let worker = self.workers.iter_mut().find(|worker| worker.id == id);
            let Some(worker) = worker else { continue };
            if let Order::Start { task, run, .. } = &order {
                self.starts += 1;
                worker
                    .runs
                    .push((*task, *run, now_ms + 600 + self.random.below(400)));
            }
            let shard = &mut self.shard;
            let answer = OrderAnswer::Accepted;
            self.costs.measure("answer", || {
                shard.order_answered(&id, &order, answer, at(now_ms), now_ms);
            });
        }
        for operation in self.shard.take_vm_operations() {
            let name = match &operation {
                VmOperation::Move { machine, .. } | VmOperation::Upkeep { machine, .. } => machine,
            };
            let at_position = self.workers.binary_search_by(|row| row.vm.cmp(name));
            let worker = &mut self.workers[at_position.expect("a known VM")];
            if let VmOperation::Move { pool, .. } = &operation {
                worker.pool = (0..POOLS)
                    .find(|at| pool_name(*at) == *pool)
                    .expect("a pool");
            }
            worker.incarnation += 1;
            worker.id = worker_id(&worker.vm, worker.incarnation);
            worker.back_at_ms = now_ms + MOVE_MS;
            worker.runs.clear();
            worker.ended.clear();
            worker.last_end = 0;
            let shard = &mut self.shard;
            self.costs.measure("VM operation", || {
                shard.vm_operation_done(&operation, at(now_ms), now_ms);
            });
        }
    }
}

fn at(ms: u64) -> MonotonicMillis {
    MonotonicMillis::new(10_000 + ms)
}

fn pool_name(at: usize) -> String {
    format!("pool-{at}")
}

fn worker_id(vm: &str, incarnation: u64) -> WorkerId {
    format!("{vm}-{incarnation}").parse().expect("a worker id")
}

fn sim_worker(at: usize, zones: usize) -> SimWorker {
    let vm = format!("vm-{at:05}");
    SimWorker {
        id: worker_id(&vm, 1),
        vm,
        pool: at % POOLS,
        rack: format!("r-{}", at / RACK_VMS),
        zone: format!("zone-{}", at / RACK_VMS % zones),
        back_at_ms: 0,
        incarnation: 1,
        runs: Vec::new(),
        ended: Vec::new(),
        last_end: 0,
    }
}

const fn capacity() -> Resources {
    Resources {
        cpu_millis: 16_000,
        memory_mib: 65_536,
        gpus: 0,
    }
}

fn entry(worker: &SimWorker) -> WorkerEntry {
    WorkerEntry {
        id: worker.id.clone(),
        pool: pool_name(worker.pool),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        zone: worker.zone.clone(),
        ready: true,
        capacity: capacity(),
        labels: vec!["a".to_owned(), worker.rack.clone()],
        started_unix_ms: Some(worker.incarnation),
        cold_remaining_ms: 0,
    }
}

fn vm(worker: &SimWorker, now_ms: u64) -> Vm {
    let is_up = worker.back_at_ms <= now_ms;
    Vm {
        name: worker.vm.clone(),
        pool: pool_name(worker.pool),
        state: if is_up { VmState::Up } else { VmState::Moving },
        capacity: capacity(),
        labels: vec!["a".to_owned(), worker.rack.clone()],
        worker: is_up.then(|| worker.id.clone()),
        zone: String::new(),
    }
}

fn wave(workers: &[SimWorker]) -> Wave {
    Wave {
        number: 1,
        vms: workers
            .iter()
            .step_by(2)
            .map(|worker| worker.vm.clone())
            .collect(),
        duration_ms: 27_000,
        max_unavailable: u32::try_from(workers.len() / 20).unwrap_or(u32::MAX),
    }
}

fn listed(task: TaskId, run: RunNumber) -> ListedRun {
    ListedRun {
        task,
        run,
        checkpoint: String::new(),
        percent: 50,
        load: 2_000,
    }
}

fn job(queue: usize, random: &mut SplitMix, now_ms: u64) -> JobSpec {
    let step = |after: Vec<u16>, random: &mut SplitMix| StepSpec {
        count: u32::try_from(4 + random.below(9)).unwrap_or(8),
        needs: Resources {
            cpu_millis: 1_500 + random.below(1_500),
            memory_mib: 4_000 + random.below(8_000),
            gpus: 0,
        },
        estimate_ms: 800,
        after,
        ..StepSpec::default()
    };
    JobSpec {
        queue: format!("queue-{queue}"),
        pool: pool_name(queue),
        organisation: format!("organisation-{:02}", random.below(ORGANISATIONS)),
        text: "text".to_owned(),
        steps: vec![step(Vec::new(), random), step(vec![0], random)],
        repeat: None,
        submitted_unix_ms: now_ms,
    }
}

fn catalogue() -> Catalogue {
    let queue = |at: usize| QueueInfo {
        name: format!("queue-{at}"),
        pool: pool_name(at),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 1_600,
        target_latency_ms: 100,
        advised: false,
    };
    let pool = |at: usize| PoolInfo {
        name: pool_name(at),
        spare: at == POOLS - 1,
    };
    let organisation = |at: u64| OrganisationInfo {
        name: format!("organisation-{at:02}"),
        weight: 1 + at % 5,
        limit: Resources::default(),
    };
    Catalogue {
        version: 1,
        queues: (0..POOLS - 1).map(queue).collect(),
        pools: (0..POOLS).map(pool).collect(),
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        removed_queues: Vec::new(),
    }
}

const fn settings() -> Settings {
    Settings {
        lease_ms: 4_500,
        max_lease_ms: 10_000,
        poll_wait_ms: 1_200,
        min_poll_interval_ms: 50,
        takeover_wait_ms: 6_600,
        finished_retention_ms: 140_000,
        vm_operation_pause_ms: 3_700,
        maintenance_ms: 2_000,
        vm_operations_per_s: 1_000,
        move_ms: 1_500,
        stop_timeout_ms: 400,
        restore_ms: 250,
        remote_factor_permille: 3_000,
        moves_enabled: true,
    }
}
