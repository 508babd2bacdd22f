//! Fault injection: the rates and effects of faults, and bugs that are injected to check that the
//! simulation detects them.

use vanillafold_state::ControlChange;

use super::world::World;

/// The rate of each fault, in occurrences per million steps of 20 ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultRates {
    pub(crate) crash: u64,
    pub(crate) restart: u64,
    pub(crate) move_vm: u64,
    pub(crate) pause: u64,
    pub(crate) partition: u64,
    pub(crate) heal: u64,
    pub(crate) outage: u64,
    pub(crate) outage_end: u64,
    pub(crate) fence: u64,
    pub(crate) release: u64,
    pub(crate) stop: u64,
    pub(crate) limits: u64,
    pub(crate) loss: u64,
    pub(crate) repeat: u64,
    pub(crate) long_delay: u64,
    pub(crate) lost_answer: u64,
}

impl FaultRates {
    pub(crate) const NONE: Self = Self {
        crash: 0,
        restart: 0,
        move_vm: 0,
        pause: 0,
        partition: 0,
        heal: 0,
        outage: 0,
        outage_end: 0,
        fence: 0,
        release: 0,
        stop: 0,
        limits: 0,
        loss: 0,
        repeat: 0,
        long_delay: 0,
        lost_answer: 0,
    };

    pub(crate) const ALL: Self = Self {
        crash: 400,
        restart: 12_000,
        move_vm: 800,
        pause: 1_500,
        partition: 1_200,
        heal: 500,
        outage: 300,
        outage_end: 3_000,
        fence: 250,
        release: 2_000,
        stop: 400,
        limits: 1_000,
        loss: 30_000,
        repeat: 50_000,
        long_delay: 10_000,
        lost_answer: 200_000,
    };
}

impl FaultRates {
    /// Returns the rates with crashes, moves, pauses, partitions, outages, fences and limit changes
    /// reduced to a tenth.
    pub(crate) fn rare(self) -> Self {
        Self {
            crash: self.crash / 10,
            move_vm: self.move_vm / 10,
            pause: self.pause / 10,
            partition: self.partition / 10,
            outage: self.outage / 10,
            fence: self.fence / 10,
            limits: self.limits / 10,
            ..self
        }
    }
}

/// A bug that is injected into the escrow or into the daemon around it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// The escrow is marked as fresh without a read of the log.
    AlwaysFresh,
    /// Handover times count as over as soon as the record is read.
    NoHandover,
    /// A repeated report of a grant counts twice.
    CountsRepeatsTwice,
    /// The clock doesn't count suspended time.
    ClockStopsInPause,
    /// The unit of work that timed out is given back long before the work must have ended.
    EarlyGiveBack,
    /// A daemon that was replaced on another VM reports the old VM in its join record.
    ReportsOldVm,
    /// The age of a peer's freshness is ignored.
    IgnoresPeerAge,
    /// A planned stop writes its leave record while work still runs.
    LeavesEarly,
    /// A lender's reports give 0 home units.
    HidesHomeUnits,
    /// The handover and drain times include neither the clocks' drift nor the longest work.
    IgnoresWorkTime,
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        let rates = self.setup.rates;
        self.vary_demand();
        for (rate, fault) in [
            (rates.crash, Self::crash as fn(&mut Self)),
            (rates.restart, Self::restart),
            (rates.move_vm, Self::move_vm),
            (rates.pause, Self::pause),
            (rates.partition, Self::partition_random),
            (rates.heal, Self::heal_random),
            (rates.outage, Self::begin_outage),
            (rates.outage_end, Self::end_outage),
            (rates.fence, Self::fence_random),
            (rates.release, Self::release_random),
            (rates.stop, Self::stop_random),
            (rates.limits, Self::change_limits),
        ] {
            if self.random.happens(rate) {
                self.report.faults += 1;
                fault(self);
            }
        }
    }

    fn vary_demand(&mut self) {
        if self.is_load_fixed {
            return;
        }
        for process in &mut self.processes {
            let team = self.random.index(process.demand.len());
            if self.random.happens(10_000) {
                process.demand[team] = match self.random.below(6) {
                    0 => 0,
                    1 => self.random.index(4),
                    _ => 10 + self.random.index(80),
                };
            }
        }
    }

    fn random_alive(&mut self) -> Option<usize> {
        let alive: Vec<usize> = self
            .processes
            .iter()
            .filter(|process| process.is_alive())
            .map(|process| process.id)
            .collect();
        match alive.len() {
            0 => None,
            len => Some(alive[self.random.index(len)]),
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].died_at_ms = Some(self.now_ms);
    }

    fn crash(&mut self) {
        if let Some(index) = self.random_alive() {
            self.kill(index);
        }
    }

    fn restart(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        self.restart_daemon(daemon);
    }

    /// Restarts a daemon on the VM of its latest incarnation, if that one is dead, superseded
    /// or fenced.
    pub(crate) fn restart_daemon(&mut self, daemon: usize) {
        let latest = self.latest(daemon);
        let now = self.processes[latest].clock.at(self.now_ms);
        let is_over = self.processes[latest].escrow.view(now).is_superseded;
        if self.processes[latest].is_alive() && !is_over {
            return;
        }
        self.kill(latest);
        let vm = self.processes[latest].vm.clone();
        self.start(daemon, vm, None);
    }

    /// Replaces a daemon by one on another VM, while the old process is dead, partitioned from the
    /// platform, or alive and connected.
    fn move_vm(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        let latest = self.latest(daemon);
        let alive = self.processes.iter();
        let alive = alive.filter(|process| process.daemon == daemon && process.is_alive());
        if alive.count() > 1 {
            return;
        }
        match self.random.below(3) {
            0 => self.kill(latest),
            1 => self.network.platform_partitions.push(latest),
            _ => {}
        }
        self.replace(daemon);
    }

    /// Starts a daemon on another VM and leaves its old process as it is.
    pub(crate) fn replace(&mut self, daemon: usize) {
        let latest = self.latest(daemon);
        let vm = format!("vm-{}-{}", daemon, self.next_incarnation)
            .parse()
            .unwrap();
        let claimed = match self.setup.bug {
            InjectedBug::ReportsOldVm => Some(self.processes[latest].vm.clone()),
            _ => None,
        };
        self.start(daemon, vm, claimed);
    }

    fn pause(&mut self) {
        let Some(index) = self.random_alive() else {
            return;
        };
        let span_ms = match self.random.below(3) {
            0 => self.random.between(100, 2_000),
            1 => self.random.between(2_000, 15_000),
            _ => self.random.between(15_000, 60_000),
        };
        if self.processes[index].paused_until_ms <= self.now_ms {
            self.freeze(index, span_ms);
        }
    }

    pub(crate) fn freeze(&mut self, index: usize, span_ms: u64) {
        self.processes[index].pause(self.now_ms, span_ms);
    }

    /// Gives every process more demand for every team than it can run.
    pub(crate) fn saturate(&mut self) {
        for process in &mut self.processes {
            process.demand.fill(100);
        }
    }

    fn partition_random(&mut self) {
        let Some(index) = self.random_alive() else {
            return;
        };
        let other = self.random.index(self.fleet.len());
        let own = self.processes[index].daemon;
        match self.random.below(6) {
            0 => self.network.blocked_links.push((index, other)),
            1 => {
                self.network.blocked_links.push((index, other));
                let back = self.latest(other);
                self.network.blocked_links.push((back, own));
            }
            2 => self.isolate(index),
            3 => self.network.platform_partitions.push(index),
            4 => {
                self.isolate(index);
                self.network.platform_partitions.push(index);
            }
            _ => self.split_fleet(),
        }
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        let own = self.processes[index].daemon;
        for daemon in 0..self.fleet.len() {
            self.network.blocked_links.push((index, daemon));
        }
        for process in &self.processes {
            self.network.blocked_links.push((process.id, own));
        }
    }

    /// Blocks every message and read from a process to the daemons, except to the daemon `spared`.
    pub(crate) fn block_outgoing(&mut self, index: usize, spared: Option<usize>) {
        let daemons = (0..self.fleet.len()).filter(|daemon| Some(*daemon) != spared);
        self.network
            .blocked_links
            .extend(daemons.map(|daemon| (index, daemon)));
    }

    /// Splits the fleet into two partitions; in half of the cases one of them also loses the
    /// platform.
    fn split_fleet(&mut self) {
        let border = self.random.index(self.fleet.len());
        let loses_platform = self.random.happens(500_000);
        for process in &self.processes {
            let far = (0..self.fleet.len())
                .filter(|daemon| (*daemon < border) != (process.daemon < border));
            self.network
                .blocked_links
                .extend(far.map(|daemon| (process.id, daemon)));
            if loses_platform && process.daemon < border {
                self.network.platform_partitions.push(process.id);
            }
        }
    }

    fn heal_random(&mut self) {
        match self.random.below(3) {
            0 => self.network.blocked_links.clear(),
            1 => self.network.platform_partitions.clear(),
            _ => self.heal_network(),
        }
    }

    pub(crate) fn heal_network(&mut self) {
        self.network.blocked_links.clear();
        self.network.platform_partitions.clear();
    }

    fn begin_outage(&mut self) {
        self.log.is_down = true;
    }

    fn end_outage(&mut self) {
        self.log.is_down = false;
    }

    /// Fences a random daemon, dead or alive, as a wrong list of the platform may cause.
    fn fence_random(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        if let Some(index) = self.random_alive() {
            self.fence_daemon(daemon, index);
        }
    }

    /// Lets process `index` fence the current incarnation of another daemon.
    pub(crate) fn fence_daemon(&mut self, daemon: usize, index: usize) {
        let process = &mut self.processes[index];
        let member = process.state.roster().member(&self.fleet[daemon]).cloned();
        match member {
            Some(member) if !member.is_fenced && process.daemon != daemon => {
                process.enqueue_record(ControlChange::Fence {
                    daemon: member.daemon,
                    incarnation: member.incarnation,
                });
            }
            _ => {}
        }
    }

    fn stop_random(&mut self) {
        if let Some(index) = self.random_alive() {
            self.stop(index);
        }
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.escrow.leave();
        process.is_leaving = true;
    }

    /// Returns whether another daemon has read the leave record of `daemon`.
    pub(crate) fn has_left(&self, daemon: usize) -> bool {
        let other = self.latest((daemon + 1) % self.fleet.len());
        let roster = self.processes[other].state.roster();
        roster
            .member(&self.fleet[daemon])
            .is_some_and(|member| member.has_left)
    }

    fn release_random(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        self.release(daemon);
    }

    /// Writes an operator's confirmation that all incarnations of a daemon except the latest are
    /// dead, if that is true.
    pub(crate) fn release(&mut self, daemon: usize) {
        let latest = self.latest(daemon);
        let mut earlier = self.processes[..latest].iter();
        let last_dead = self.processes[..latest]
            .iter()
            .rfind(|process| process.daemon == daemon)
            .map(|process| process.incarnation);
        if earlier.any(|process| process.daemon == daemon && process.is_alive()) {
            return;
        }
        if let (Some(incarnation), Some(index)) = (last_dead, self.random_alive()) {
            let daemon = self.fleet[daemon].clone();
            self.processes[index].enqueue_record(ControlChange::Release {
                daemon,
                incarnation,
            });
        }
    }

    fn change_limits(&mut self) {
        let limits = self.random_limits();
        self.publish_limits(&limits);
    }

    /// Ends all faults, restarts dead and fenced daemons, and runs until all handovers are over.
    pub(crate) fn settle(&mut self) {
        self.setup.rates = FaultRates::NONE;
        self.is_load_fixed = true;
        self.heal_network();
        self.log.is_down = false;
        self.network.loss_per_million = 0;
        self.network.repeat_per_million = 0;
        self.network.long_delay_per_million = 0;
        for index in 0..self.processes.len() {
            self.processes[index].wake(self.now_ms);
            self.processes[index].demand.fill(0);
            let is_latest = index == self.latest(self.processes[index].daemon);
            if !is_latest || self.processes[index].is_leaving {
                self.kill(index);
            }
        }
        self.run(self.setup.settings.fence_ms.get());
        for daemon in 0..self.fleet.len() {
            self.restart_daemon(daemon);
        }
        // A release is refused until a later incarnation has joined and superseded the dead ones.
        self.run(self.setup.settings.longest_work_ms.get());
        for daemon in 0..self.fleet.len() {
            self.release(daemon);
        }
        self.run(2 * self.setup.settings.handover_ms().get());
    }

    /// Gives one daemon demand for all units of a team that it can have, and returns how many of
    /// them it did not use after `span_ms`.
    pub(crate) fn probe_missing_units(
        &mut self,
        daemon: usize,
        team: usize,
        span_ms: u64,
    ) -> usize {
        let index = self.latest(daemon);
        let reachable = self.reachable_units(team, daemon);
        self.processes[index].demand[team] = reachable;
        self.run(span_ms);
        let missing = reachable - self.running_at(index, team);
        self.processes[index].demand[team] = 0;
        self.run(2 * self.setup.settings.longest_work_ms.get());
        missing
    }
}
