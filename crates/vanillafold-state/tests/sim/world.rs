//! The simulated world: the fleet, its platform and its targets, advanced in steps of 20 ms.

use vanillafold_state::{
    BootMillis, ControlChange, Escrow, EscrowSettings, OutgoingMessage, State, TeamLimit,
    floor_units, home_units,
};
use vanillafold_types::{DaemonId, Incarnation, Limit, Millis, Percent, TeamId, VmId};

use super::clock::Clock;
use super::faults::{FaultRates, InjectedBug};
use super::log::{LimitsRevision, Log, Tail};
use super::network::{Network, Packet};
use super::process::{HeldUnit, Process, Read, Source};
use super::random::Random;
use super::report::{Excess, Report};

pub(crate) const STEP_MS: u64 = 20;
const TICK_MS: u64 = 100;
const READ_INTERVAL_MS: u64 = 200;
const MAX_READ_MS: u64 = 50;
const MAX_SLOW_READ_MS: u64 = 9_000;
const APPEND_RETRY_MS: u64 = 500;
const READ_BACK_TIMEOUT_MS: u64 = 5_000;
const LONGEST_WORK_MS: u64 = 3_000;
const MAX_STARTS_PER_STEP: usize = 40;
/// The limits from which random limit changes choose.
const LIMITS: [u32; 8] = [0, 1, 2, 3, 5, 8, 20, 60];

/// Returns settings with short times, so that a run of a few minutes includes many handovers.
pub(crate) fn sim_settings() -> EscrowSettings {
    EscrowSettings {
        fence_ms: Millis::new(10_000),
        longest_work_ms: Millis::new(LONGEST_WORK_MS),
        clock_drift: Percent::new(3),
        ..EscrowSettings::default()
    }
}

#[derive(Debug, Clone)]
pub(crate) struct WorldSetup {
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) limits: Vec<u32>,
    pub(crate) rates: FaultRates,
    pub(crate) bug: InjectedBug,
    pub(crate) settings: EscrowSettings,
}

/// Work at a target. It continues even if the daemon that sent it dies.
#[derive(Debug)]
struct Work {
    team: usize,
    ends_at_ms: u64,
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) setup: WorldSetup,
    pub(crate) now_ms: u64,
    pub(crate) report: Report,
    pub(crate) network: Network,
    pub(crate) log: Log,
    pub(crate) processes: Vec<Process>,
    pub(super) random: Random,
    pub(super) fleet: Vec<DaemonId>,
    teams: Vec<TeamId>,
    running_work: Vec<Work>,
    pub(super) next_incarnation: u64,
    /// Whether the demand only changes when the test sets it and all work takes the longest time.
    pub(crate) is_load_fixed: bool,
}

impl World {
    pub(crate) fn new(setup: WorldSetup) -> Self {
        let fleet: Vec<DaemonId> = (0..setup.daemons)
            .map(|index| format!("d{index:02}").parse().unwrap())
            .collect();
        let teams = (0..setup.limits.len())
            .map(|index| format!("team-{index}").parse().unwrap())
            .collect();
        let mut world = Self {
            random: Random::new(setup.seed),
            now_ms: 1_000,
            report: Report::default(),
            network: Network {
                loss_per_million: setup.rates.loss,
                repeat_per_million: setup.rates.repeat,
                long_delay_per_million: setup.rates.long_delay,
                counts_repeats_twice: setup.bug == InjectedBug::CountsRepeatsTwice,
                hides_home_units: setup.bug == InjectedBug::HidesHomeUnits,
                ..Network::default()
            },
            log: Log::default(),
            processes: Vec::new(),
            fleet,
            teams,
            running_work: Vec::new(),
            next_incarnation: 1,
            is_load_fixed: false,
            setup,
        };
        world.publish_limits(&world.setup.limits.clone());
        for daemon in 0..world.setup.daemons {
            let vm = format!("vm-{daemon}").parse().unwrap();
            world.start(daemon, vm, None);
        }
        world
    }

    pub(crate) fn publish_limits(&mut self, limits: &[u32]) {
        let limits = self
            .teams
            .iter()
            .zip(limits)
            .map(|(team, limit)| TeamLimit {
                team: team.clone(),
                limit: Limit::new(*limit),
            });
        let revision = LimitsRevision {
            at_ms: self.now_ms,
            limits: limits.collect(),
        };
        self.log.limits.push(revision);
    }

    /// Starts a daemon on a VM. `claimed` is the VM that its join record names instead, if any.
    pub(crate) fn start(&mut self, daemon: usize, vm: VmId, claimed: Option<VmId>) {
        let incarnation = Incarnation::new(self.next_incarnation);
        self.next_incarnation += 1;
        let clock = Clock::new(&mut self.random);
        let settings = match self.setup.bug {
            InjectedBug::IgnoresWorkTime => EscrowSettings {
                longest_work_ms: Millis::ZERO,
                clock_drift: Percent::ZERO,
                ..self.setup.settings.clone()
            },
            _ => self.setup.settings.clone(),
        };
        let name = self.fleet[daemon].clone();
        let escrow = Escrow::new(&name, incarnation, self.fleet.clone(), settings);
        let mut process = Process {
            id: self.processes.len(),
            daemon,
            incarnation,
            vm: vm.clone(),
            clock,
            escrow,
            state: State::new(),
            limits_revision: 0,
            past_limits: Vec::new(),
            died_at_ms: None,
            is_leaving: false,
            paused_until_ms: 0,
            paused_ms: 0,
            read: None,
            next_read_ms: self.now_ms,
            next_append_ms: self.now_ms,
            unconfirmed_records: Vec::new(),
            last_sequence: 0,
            held_units: Vec::new(),
            demand: vec![0; self.teams.len()],
            name: name.clone(),
        };
        process.enqueue_record(ControlChange::Join {
            daemon: name,
            vm: claimed.unwrap_or(vm),
            incarnation,
        });
        self.processes.push(process);
    }

    pub(crate) fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms && self.report.excess.is_none() {
            self.step();
        }
        (self.report.messages, self.report.bytes) = (self.network.messages, self.network.bytes);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.report.steps += 1;
        self.inject_faults();
        let now_ms = self.now_ms;
        self.running_work.retain(|work| work.ends_at_ms > now_ms);
        self.deliver();
        for index in 0..self.processes.len() {
            self.serve_read(index);
            if self.processes[index].is_running(self.now_ms) {
                self.step_process(index);
            }
        }
        self.check();
    }

    fn step_process(&mut self, index: usize) {
        if self.setup.bug == InjectedBug::AlwaysFresh {
            let now = self.clock_of(index);
            self.processes[index].escrow.mark_fresh(now);
        }
        self.give_back(index);
        self.leave_if_clear(index);
        let starts_first = self.random.happens(500_000);
        if starts_first {
            self.start_work(index);
        }
        self.finish_read(index);
        self.append(index);
        if (self.now_ms + 37 * index as u64 / STEP_MS * STEP_MS) % TICK_MS < STEP_MS {
            let now = self.clock_of(index);
            let outgoing = self.processes[index].escrow.tick(now);
            self.send(index, outgoing);
        }
        if !starts_first {
            self.start_work(index);
        }
    }

    /// Returns the time of a process's own clock.
    fn clock_of(&self, index: usize) -> BootMillis {
        let process = &self.processes[index];
        let counted_ms = match self.setup.bug {
            InjectedBug::ClockStopsInPause => self.now_ms - process.paused_ms(self.now_ms),
            _ => self.now_ms,
        };
        process.clock.at(counted_ms)
    }

    fn deliver(&mut self) {
        for mut packet in self.network.take_due(self.now_ms) {
            for index in 0..self.processes.len() {
                let process = &self.processes[index];
                if process.daemon != packet.to_daemon || !process.is_alive() {
                    continue;
                }
                if !process.is_running(self.now_ms) {
                    packet.deliver_at_ms = process.paused_until_ms;
                    self.network.packets.push(packet.clone());
                    continue;
                }
                let now = self.clock_of(index);
                let outgoing = self.processes[index].escrow.receive(
                    &self.fleet[packet.from_daemon],
                    packet.from_incarnation,
                    packet.message.clone(),
                    now,
                );
                self.send(index, outgoing);
            }
        }
    }

    fn send(&mut self, index: usize, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let packet = Packet {
                deliver_at_ms: 0,
                from: index,
                from_daemon: self.processes[index].daemon,
                from_incarnation: self.processes[index].incarnation,
                to_daemon: self.fleet.binary_search(&to).unwrap(),
                message,
            };
            self.network.send(packet, self.now_ms, &mut self.random);
        }
    }

    fn is_platform_reachable(&self, index: usize) -> bool {
        !self.log.is_down && !self.network.is_platform_partitioned(index)
    }

    /// Completes the source's side of a read, which does not depend on whether the reader is
    /// paused.
    fn serve_read(&mut self, index: usize) {
        let Some(read) = &self.processes[index].read else {
            return;
        };
        if read.tail.is_some() || read.served_at_ms > self.now_ms {
            return;
        }
        let served = match read.source {
            Source::Platform => self
                .is_platform_reachable(index)
                .then(|| (self.log.tail(), Millis::ZERO)),
            Source::Peer(peer) => self.ask_peer(index, peer),
        };
        let process = &mut self.processes[index];
        match (&mut process.read, served) {
            (Some(read), Some((tail, age))) => (read.tail, read.age) = (Some(tail), age),
            _ => process.read = None,
        }
    }

    /// Returns how far a peer has read the log and its freshness age, or `None` if it cannot
    /// answer.
    fn ask_peer(&self, index: usize, peer: usize) -> Option<(Tail, Millis)> {
        let process = &self.processes[peer];
        let is_reachable = process.is_running(self.now_ms)
            && !self.network.is_blocked(index, process.daemon)
            && !self.network.is_blocked(peer, self.processes[index].daemon);
        let age = process.escrow.fresh_age(self.clock_of(peer))?;
        let reported_age = match self.setup.bug {
            InjectedBug::IgnoresPeerAge => Millis::ZERO,
            _ => age,
        };
        is_reachable.then(|| (process.tail(), reported_age))
    }

    fn finish_read(&mut self, index: usize) {
        let now_ms = self.now_ms;
        match self.processes[index].read.take() {
            Some(read) if read.tail.is_some() && read.done_at_ms <= now_ms => {
                self.apply_read(index, &read);
            }
            Some(read) => self.processes[index].read = Some(read),
            None if self.processes[index].next_read_ms <= now_ms => self.begin_read(index),
            None => {}
        }
    }

    fn apply_read(&mut self, index: usize, read: &Read) {
        let Some(mut tail) = read.tail else {
            return;
        };
        let now = self.clock_of(index);
        let is_partial = self.random.happens(50_000);
        if is_partial {
            tail.control = tail.control.saturating_sub(1);
            tail.limits = tail.limits.saturating_sub(1);
        }
        let read_at = match self.setup.bug {
            InjectedBug::NoHandover => {
                let over_ms = self.setup.settings.handover_ms();
                now.before(over_ms).unwrap()
            }
            _ => now,
        };
        let process = &mut self.processes[index];
        process.fold(&self.log, tail, read_at, self.now_ms);
        match read.source {
            _ if is_partial => {}
            Source::Platform => process.escrow.mark_fresh(read.began),
            Source::Peer(_) => process.escrow.mark_fresh_from_peer(read.began, read.age),
        }
    }

    fn begin_read(&mut self, index: usize) {
        let peer = self.random.index(self.processes.len());
        let source = match self.random.below(4) {
            0 if peer != index => Source::Peer(peer),
            _ => Source::Platform,
        };
        let served_at_ms = self.now_ms + self.read_ms();
        let done_at_ms = served_at_ms + self.read_ms();
        let began = self.clock_of(index);
        let process = &mut self.processes[index];
        process.next_read_ms = self.now_ms + READ_INTERVAL_MS;
        process.read = Some(Read {
            began,
            served_at_ms,
            done_at_ms,
            tail: None,
            source,
            age: Millis::ZERO,
        });
    }

    fn read_ms(&mut self) -> u64 {
        match self.setup.rates.long_delay > 0 && self.random.happens(20_000) {
            true => self.random.below(MAX_SLOW_READ_MS),
            false => self.random.below(MAX_READ_MS),
        }
    }

    /// Queues the leave record of a process in a planned stop once the escrow allows it.
    fn leave_if_clear(&mut self, index: usize) {
        let now = self.clock_of(index);
        let process = &mut self.processes[index];
        if !process.is_leaving {
            return;
        }
        let record = match self.setup.bug {
            InjectedBug::LeavesEarly => Some(ControlChange::Leave {
                daemon: process.name.clone(),
                incarnation: process.incarnation,
                is_floor_settled: true,
            }),
            _ => process.escrow.leave_record(now),
        };
        if let Some(record) = record {
            process.is_leaving = false;
            process.enqueue_record(record);
        }
    }

    fn append(&mut self, index: usize) {
        if !self.is_platform_reachable(index) || self.processes[index].next_append_ms > self.now_ms
        {
            return;
        }
        let is_answer_lost = self.random.happens(self.setup.rates.lost_answer);
        let process = &mut self.processes[index];
        let records = process.unconfirmed_records.iter();
        self.log
            .control
            .extend(records.map(|(_, bytes)| bytes.clone()));
        process.next_append_ms = match (process.unconfirmed_records.is_empty(), is_answer_lost) {
            (true, _) => self.now_ms,
            (false, true) => self.now_ms + APPEND_RETRY_MS,
            (false, false) => self.now_ms + READ_BACK_TIMEOUT_MS,
        };
    }

    fn give_back(&mut self, index: usize) {
        let now = self.clock_of(index);
        let now_ms = self.now_ms;
        let process = &mut self.processes[index];
        let (over, held_units) = std::mem::take(&mut process.held_units)
            .into_iter()
            .partition(|held_unit: &HeldUnit| {
                held_unit.answer_at_ms.is_some_and(|at| at <= now_ms) || held_unit.give_up_at <= now
            });
        process.held_units = held_units;
        for HeldUnit { team, unit, .. } in over {
            process.escrow.give_back(&team, unit);
        }
    }

    fn start_work(&mut self, index: usize) {
        let now = self.clock_of(index);
        for team in 0..self.teams.len() {
            let id = self.teams[team].clone();
            let held = self.processes[index].held_units.iter();
            let running = held.filter(|held_unit| held_unit.team == id).count();
            let waiting = self.processes[index].demand[team].saturating_sub(running);
            for started in 0..waiting.min(MAX_STARTS_PER_STEP) {
                let process = &mut self.processes[index];
                let Ok(unit) = process.escrow.try_take(&id, now) else {
                    process
                        .escrow
                        .set_demand(&id, u32::try_from(waiting - started).unwrap(), now);
                    break;
                };
                self.report.started += 1;
                self.report.started_borrowed += u64::from(unit.is_borrowed());
                let is_given_up = !self.is_load_fixed && self.random.happens(30_000);
                let work_ms = match is_given_up {
                    true => self.random.between(LONGEST_WORK_MS / 2, LONGEST_WORK_MS),
                    false => self.work_ms(),
                };
                let give_up_ms = match self.setup.bug {
                    InjectedBug::EarlyGiveBack => 200,
                    _ => self.setup.settings.drain_ms().get(),
                };
                let held_unit = HeldUnit {
                    team: id.clone(),
                    unit,
                    answer_at_ms: (!is_given_up).then_some(self.now_ms + work_ms),
                    give_up_at: BootMillis::new(now.get() + give_up_ms),
                };
                self.processes[index].held_units.push(held_unit);
                self.running_work.push(Work {
                    team,
                    ends_at_ms: self.now_ms + work_ms,
                });
            }
        }
    }

    fn work_ms(&mut self) -> u64 {
        match self.random.below(20) {
            _ if self.is_load_fixed => LONGEST_WORK_MS,
            0 => LONGEST_WORK_MS,
            1..=3 => self.random.between(600, LONGEST_WORK_MS),
            _ => self.random.between(50, 600),
        }
    }

    /// Returns how much work of a team runs now.
    pub(crate) fn running(&self, team: usize) -> usize {
        self.running_work
            .iter()
            .filter(|work| work.team == team)
            .count()
    }

    /// Returns how many units of a team are in use in a process.
    pub(crate) fn running_at(&self, index: usize, team: usize) -> usize {
        let id = &self.teams[team];
        let held_units = self.processes[index].held_units.iter();
        held_units.filter(|held_unit| held_unit.team == *id).count()
    }

    fn check(&mut self) {
        for team in 0..self.teams.len() {
            let running = self.running(team);
            let allowed = self.allowed(team);
            self.report.team_steps += 1;
            self.report.full_team_steps += u64::from(running > 0 && running == allowed as usize);
            if running > allowed as usize {
                self.report.excess = Some(Excess {
                    at_ms: self.now_ms,
                    team: self.teams[team].to_string(),
                    running,
                    allowed,
                });
            }
        }
    }

    /// Returns how much work of a team may run: the largest limit in force during the last handover
    /// time, which is extended by 2 % for differences between clocks, plus the floors of processes
    /// that know only older limits.
    fn allowed(&self, team: usize) -> u32 {
        let settle_ms = self.setup.settings.handover_ms().get() * 102 / 100;
        let window_ms = self.now_ms.saturating_sub(settle_ms);
        let first = self
            .log
            .limits
            .partition_point(|revision| revision.at_ms <= window_ms)
            .saturating_sub(1);
        let in_force = self.log.limits[first..].iter();
        let limit = in_force
            .map(|revision| revision.limits[team].limit.get())
            .max()
            .unwrap_or(0);
        let floors = self
            .processes
            .iter()
            .map(|process| self.stale_floor(process, team, first));
        limit + floors.sum::<u32>()
    }

    /// Returns the floor of a process that knows only limits older than revision `first`, or did so
    /// when the longest work that may still run began; otherwise 0.
    fn stale_floor(&self, process: &Process, team: usize, first: usize) -> u32 {
        let began_ms = self.now_ms.saturating_sub(LONGEST_WORK_MS);
        let is_over = process.died_at_ms.is_some_and(|at_ms| at_ms < began_ms);
        let left = process.past_limits.iter();
        let known = left
            .filter(|(_, until_ms)| *until_ms >= began_ms)
            .map(|(revision, _)| *revision)
            .chain([process.limits_revision])
            .filter(|revision| !is_over && (1..=first).contains(revision));
        let floors = known.map(|revision| {
            let known = &self.log.limits[revision - 1].limits[team];
            let home = home_units(&known.team, known.limit, process.daemon, self.fleet.len());
            floor_units(home, self.setup.settings.floor)
        });
        floors.max().unwrap_or(0)
    }

    pub(super) fn random_limits(&mut self) -> Vec<u32> {
        (0..self.teams.len())
            .map(|_| LIMITS[self.random.index(LIMITS.len())])
            .collect()
    }

    /// Returns the index of the latest process of a daemon.
    pub(crate) fn latest(&self, daemon: usize) -> usize {
        self.processes
            .iter()
            .rposition(|process| process.daemon == daemon)
            .unwrap()
    }

    /// Returns the limit of a team minus the floor of a daemon.
    pub(crate) fn limit_without_floor(&self, team: usize, daemon: usize) -> usize {
        let limits = &self.log.limits.last().unwrap().limits[team];
        let home = home_units(&limits.team, limits.limit, daemon, self.fleet.len());
        let floor = floor_units(home, self.setup.settings.floor);
        (limits.limit.get() - floor) as usize
    }

    /// Returns the units of a team that daemon `busy` can have when all others are idle.
    pub(crate) fn reachable_units(&self, team: usize, busy: usize) -> usize {
        let limits = &self.log.limits.last().unwrap().limits[team];
        let units = (0..self.fleet.len()).map(|daemon| {
            let home = home_units(&limits.team, limits.limit, daemon, self.fleet.len());
            match daemon == busy {
                true => home,
                false => home - floor_units(home, self.setup.settings.floor),
            }
        });
        units.sum::<u32>() as usize
    }
}
