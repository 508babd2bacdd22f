//! Well-formed input whose numbers are as small or as large as their types allow.

use vanillafold_jobs::{
    Advice, Catalogue, EndKind, Epoch, JobId, JobOutcome, JobProgress, ListedEnd, ListedRun,
    OccurrenceProgress, Order, OrderAnswer, OrganisationInfo, PollPlan, PollReport, QueueInfo,
    Record, Repeat, Resources, RunNumber, Shard, StepProgress, StepSpec, SuspectRun, SuspectState,
    TaskId, Vm, VmState, Wave, WorkerEntry,
};
use vanillafold_policy::SplitMix;

use crate::fixture::{at, catalogue, job, job_id, settings, step, unix, worker, worker_entry};

/// Seeds of the runs; each gives other input.
const SEEDS: u64 = 60;
/// Events in each run.
const EVENTS: u64 = 60;
/// Jobs, workers and VMs that events name.
const JOBS: u64 = 4;
const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// Source of input for one run.
struct Source(SplitMix);

impl Source {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.below(bound)
    }

    fn flag(&mut self) -> bool {
        self.below(2) == 0
    }

    /// Returns a usual number or one at an end of a type's range.
    fn number(&mut self) -> u64 {
        match self.below(12) {
            0 => 0,
            1 => 1,
            2 => u64::MAX,
            3 => u64::MAX - self.below(1_000),
            4 => u64::MAX / 2,
            5 => 1 << 53,
            6 => u64::from(u32::MAX),
            7 => 1 << self.below(64),
            _ => self.below(5_000),
        }
    }

    #[allow(clippy::cast_possible_truncation)] // any 32 bits will do
    fn short(&mut self) -> u32 {
        self.number() as u32
    }

    /// Returns a small number, or seldom any.
    fn index(&mut self) -> u16 {
        match self.below(8) {
            0 => u16::MAX,
            1 => 9_999,
            _ => u16::try_from(self.below(4)).unwrap_or(0),
        }
    }

    fn resources(&mut self) -> Resources {
        Resources {
            cpu_millis: self.number(),
            memory_mib: self.number(),
            gpus: self.number(),
        }
    }

    fn job_id(&mut self) -> JobId {
        job_id(self.below(JOBS))
    }

    fn worker_name(&mut self) -> &'static str {
        WORKERS[usize::try_from(self.below(4)).unwrap_or(0)]
    }

    fn task(&mut self) -> TaskId {
        TaskId {
            job: self.job_id(),
            occurrence: match self.below(4) {
                0 => self.short(),
                _ => 0,
            },
            step: self.index(),
            index: self.index(),
        }
    }

    fn step(&mut self, position: u64) -> StepSpec {
        StepSpec {
            count: u32::try_from(1 + self.below(4)).unwrap_or(1),
            needs: match self.flag() {
                true => self.resources(),
                false => step(1).needs,
            },
            estimate_ms: self.number(),
            after: (0..self.below(position + 1)).map(|at| at as u16).collect(),
            checkpointing: self.flag(),
            gang: self.below(4) == 0,
            anti_affinity: match self.flag() {
                true => 0,
                false => self.short(),
            },
            persistent: self.below(3) == 0,
            latency_target_ms: self.number(),
            best_effort: self.below(3) == 0,
            max_unavailable: self.flag().then(|| self.short()),
            ..StepSpec::default()
        }
    }

    fn spec(&mut self) -> vanillafold_jobs::JobSpec {
        let steps = 1 + self.below(3);
        vanillafold_jobs::JobSpec {
            repeat: (self.below(3) == 0).then(|| Repeat {
                count: match self.below(8) {
                    0 => self.short(),
                    _ => u32::try_from(1 + self.below(3)).unwrap_or(1),
                },
                start_unix_ms: self.number(),
                interval_ms: self.number(),
            }),
            submitted_unix_ms: self.number(),
            ..job((0..steps).map(|position| self.step(position)).collect())
        }
    }

    fn progress(&mut self) -> JobProgress {
        JobProgress {
            outcome: match self.below(4) {
                0 => JobOutcome::Failed,
                _ => JobOutcome::Open,
            },
            finished_unix_ms: self.number(),
            started: self.flag(),
            completed: (0..self.below(3)).map(|_| self.short()).collect(),
            occurrences: (0..self.below(3))
                .map(|_| OccurrenceProgress {
                    number: match self.flag() {
                        true => 0,
                        false => self.short(),
                    },
                    steps: (0..self.below(4))
                        .map(|_| StepProgress {
                            done_bits: (0..self.below(3)).map(|_| 255).collect(),
                            failed_runs: (0..self.below(3))
                                .map(|_| (self.index(), self.number()))
                                .collect(),
                        })
                        .collect(),
                })
                .collect(),
        }
    }

    fn suspect(&mut self) -> SuspectRun {
        let task = self.task();
        SuspectRun {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run: self.number(),
            recorded_unix_ms: self.number(),
            worker: self.worker_name().to_owned(),
            worker_started_unix_ms: Some(self.number()),
            vm: self.worker_name().to_owned(),
            alone: self.flag(),
            prompt: self.flag(),
            state: match self.below(3) {
                0 => SuspectState::InProgress,
                1 => SuspectState::WorkerSilent,
                _ => SuspectState::WorkerCrashed,
            },
        }
    }

    fn records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for _ in 0..self.below(6) {
            let id = self.job_id();
            records.push(Record::Spec(id, Box::new(self.spec())));
            if self.flag() {
                records.push(Record::Progress(id, self.progress()));
            }
            if self.below(4) == 0 {
                let runs = (0..self.below(4)).map(|_| self.suspect()).collect();
                records.push(Record::Suspects(id, runs));
            }
        }
        records.push(Record::Wave(self.number(), vec!["w2".into(), "w1".into()]));
        records
    }

    fn catalogue(&mut self) -> Catalogue {
        let mut catalogue = catalogue();
        catalogue.version = self.number();
        catalogue.queues[0] = QueueInfo {
            priority: self.short(),
            max_attempts: self.short(),
            stretch_permille: self.number(),
            target_latency_ms: self.number(),
            advised: self.below(3) == 0,
            ..catalogue.queues[0].clone()
        };
        catalogue.organisations = (0..2)
            .map(|at| OrganisationInfo {
                name: ["shop", "shop-b"][at].to_owned(),
                weight: self.number(),
                limit: self.resources(),
            })
            .collect();
        catalogue
    }

    fn entry(&mut self) -> WorkerEntry {
        WorkerEntry {
            ready: self.below(4) > 0,
            capacity: match self.flag() {
                true => self.resources(),
                false => worker_entry("w1").capacity,
            },
            started_unix_ms: self.flag().then(|| self.number()),
            cold_remaining_ms: self.number(),
            zone: self.zone_name().to_owned(),
            ..worker_entry(self.worker_name())
        }
    }

    fn zone_name(&mut self) -> &'static str {
        ["zone-a", "zone-b", ""][self.below(3) as usize]
    }

    fn vm(&mut self) -> Vm {
        Vm {
            name: self.worker_name().to_owned(),
            pool: ["pool-a", "spare", "unknown"][self.below(3) as usize].to_owned(),
            state: [
                VmState::Up,
                VmState::Up,
                VmState::Down,
                VmState::Maintenance,
            ][self.below(4) as usize],
            capacity: self.resources(),
            labels: Vec::new(),
            worker: (self.below(4) > 0).then(|| worker(self.worker_name())),
            zone: self.zone_name().to_owned(),
        }
    }

    fn wave(&mut self) -> Wave {
        Wave {
            number: self.number(),
            vms: (0..self.below(5))
                .map(|_| self.worker_name().to_owned())
                .collect(),
            duration_ms: self.number(),
            max_unavailable: self.short(),
        }
    }

    fn end(&mut self) -> ListedEnd {
        let kinds = [
            EndKind::Done,
            EndKind::Failed,
            EndKind::Stopped,
            EndKind::LeaseExpired,
            EndKind::GangMemberEnded,
            EndKind::GangIncomplete,
        ];
        ListedEnd {
            number: self.number(),
            task: self.task(),
            run: RunNumber::new(self.number()),
            kind: kinds[self.below(6) as usize],
            checkpoint: "c".repeat(self.below(3) as usize),
        }
    }

    fn report(&mut self, ms: u64, runs: &[(TaskId, RunNumber)]) -> PollReport {
        let mut running: Vec<ListedRun> = Vec::new();
        for (task, run) in runs {
            running.push(ListedRun {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                percent: self.short(),
                load: self.number(),
            });
        }
        if self.below(3) == 0 {
            running.push(ListedRun {
                task: self.task(),
                run: RunNumber::new(self.number()),
                checkpoint: String::new(),
                percent: self.short(),
                load: self.number(),
            });
        }
        PollReport {
            clock_ms: match self.below(4) {
                0 => self.number(),
                _ => ms,
            },
            started_unix_ms: match self.below(4) {
                0 => Some(self.number()),
                _ => Some(1),
            },
            running,
            has_unreadable_runs: self.below(5) == 0,
            has_more_ends: self.below(5) == 0,
            ended: (0..self.below(3)).map(|_| self.end()).collect(),
        }
    }

    fn answer(&mut self) -> OrderAnswer {
        match self.below(12) {
            0 => OrderAnswer::OldRun,
            1 => OrderAnswer::Late,
            2 => OrderAnswer::NoRoom,
            3 => OrderAnswer::Invalid,
            4 => OrderAnswer::Unknown,
            5 => OrderAnswer::NotSent,
            _ => OrderAnswer::Accepted,
        }
    }
}

/// The runs that a worker has been ordered to start.
type Runs = Vec<(&'static str, TaskId, RunNumber)>;

/// Carries out the orders of a shard: remembers the starts, and answers each.
fn answer_orders(shard: &mut Shard, source: &mut Source, runs: &mut Runs, ms: u64) {
    for (id, order) in shard.take_orders() {
        if let Order::Start { task, run, .. } = &order {
            let name = WORKERS.iter().find(|name| **name == id.as_str());
            runs.extend(name.map(|name| (*name, *task, *run)));
        }
        let answer = source.answer();
        shard.order_answered(&id, &order, answer, at(ms), unix(ms));
    }
}

/// Has a shard process one event.
fn process_event(shard: &mut Shard, source: &mut Source, runs: &mut Runs, ms: u64) {
    let name = source.worker_name();
    match source.below(15) {
        0 => shard.set_workers((0..4).map(|_| source.entry()).collect(), at(ms)),
        1 => shard.update_worker(source.entry(), at(ms)),
        2 => shard.set_vms((0..4).map(|_| source.vm()).collect(), at(ms)),
        3 => shard.add_wave(source.wave(), at(ms)),
        4 => shard.set_catalogue(source.catalogue()),
        5 => {
            shard.submit(source.job_id(), source.spec(), at(ms), unix(ms));
        }
        6 if source.below(4) == 0 => {
            shard.cancel(source.job_id(), at(ms), unix(ms));
        }
        7 => {
            while let Some(batch) = shard.take_batch() {
                shard.batch_stored(&batch);
            }
        }
        8 => {
            for query in shard.take_queries() {
                let tickets = query.workers.iter().cloned();
                let advice = Advice {
                    tickets: tickets.map(|id| (id, "t".to_owned())).collect(),
                    valid_ms: source.number(),
                    has_unreadable_rows: source.flag(),
                };
                shard.advice_answered(&query, Some(advice), at(ms), at(ms));
            }
        }
        9 => {
            for operation in shard.take_vm_operations() {
                match source.flag() {
                    true => shard.vm_operation_done(&operation, at(ms), unix(ms)),
                    false => shard.vm_operation_failed(&operation, source.flag(), at(ms)),
                }
            }
        }
        10 => {
            let zones = ["zone-a", "zone-b", ""][source.below(3) as usize].to_owned();
            let zones = [zones];
            shard.set_evacuated_zones(&zones[source.below(2) as usize..], at(ms));
        }
        _ => {
            if let PollPlan::Poll { .. } = shard.plan_poll(&worker(name), at(ms)) {
                let own = runs.iter().filter(|run| run.0 == name);
                let own: Vec<_> = own.map(|run| (run.1, run.2)).collect();
                let report = source.report(ms, &own);
                shard.poll_answered(&worker(name), &report, at(ms), at(ms), unix(ms));
            }
        }
    }
}

/// Runs a shard through events whose input follows from the seed.
fn run(seed: u64) {
    let mut source = Source(SplitMix::new(seed));
    let epoch = match source.below(4) {
        0 => Epoch::new(source.number()),
        _ => Epoch::new(5),
    };
    let records = source.records();
    let mut shard = Shard::load(settings(), epoch, records, at(0), unix(0));
    shard.set_evacuated_zones(&[], at(0));
    shard.set_catalogue(source.catalogue());
    shard.set_workers(WORKERS.map(worker_entry).into(), at(0));
    let mut runs = Vec::new();
    for event in 0..EVENTS {
        let ms = 1 + event * 150;
        process_event(&mut shard, &mut source, &mut runs, ms);
        shard.schedule(at(ms), unix(ms));
        answer_orders(&mut shard, &mut source, &mut runs, ms);
    }
}

#[test]
fn no_number_makes_the_arithmetic_of_a_shard_overflow() {
    for seed in 0..SEEDS {
        run(seed);
    }
}
