//! What goes wrong, how often, and the bugs that are planted to see them caught.

use vanillafold_state::ControlChange;

use super::world::World;

/// How often each fault comes, in a million steps of 20 ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultRates {
    pub(crate) crash: u64,
    pub(crate) restart: u64,
    pub(crate) move_vm: u64,
    pub(crate) pause: u64,
    pub(crate) cut: u64,
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
        cut: 0,
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
        cut: 1_200,
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
    /// A tenth of the faults of processes, cuts and the platform.
    pub(crate) fn rare(self) -> Self {
        Self {
            crash: self.crash / 10,
            move_vm: self.move_vm / 10,
            pause: self.pause / 10,
            cut: self.cut / 10,
            outage: self.outage / 10,
            fence: self.fence / 10,
            limits: self.limits / 10,
            ..self
        }
    }
}

/// A bug in the daemon around the escrow, or in a part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Planted {
    Nothing,
    /// The escrow is told that the log was read when it wasn't.
    AlwaysFresh,
    /// Handovers are over as soon as their record is read.
    NoHandover,
    /// A repeated grant counts twice.
    SumsRepeats,
    /// The clock doesn't count suspended time.
    ClockStopsInPause,
    /// The unit of work that was given up on comes back at once.
    EarlyGiveBack,
    /// A daemon on another VM says it is on the old one.
    ClaimsSameVm,
    /// A peer's freshness counts as if it were new.
    IgnoresPeerAge,
    /// A planned stop says that nothing runs any more while it does.
    LeavesEarly,
    /// A lender's lines don't tell its home units.
    HidesHome,
    /// The clock's drift isn't counted in, nor the work's length.
    NoWorkTime,
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        let rates = self.setup.rates;
        self.wander_demand();
        for (rate, fault) in [
            (rates.crash, Self::crash as fn(&mut Self)),
            (rates.restart, Self::restart),
            (rates.move_vm, Self::move_vm),
            (rates.pause, Self::pause),
            (rates.cut, Self::cut),
            (rates.heal, Self::heal_some),
            (rates.outage, Self::begin_outage),
            (rates.outage_end, Self::end_outage),
            (rates.fence, Self::fence),
            (rates.release, Self::release_any),
            (rates.stop, Self::stop_any),
            (rates.limits, Self::change_limits),
        ] {
            if self.random.happens(rate) {
                self.report.faults += 1;
                fault(self);
            }
        }
    }

    fn wander_demand(&mut self) {
        if self.is_probe {
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

    fn any_alive(&mut self) -> Option<usize> {
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
        self.processes[index].died_ms = Some(self.now_ms);
    }

    fn crash(&mut self) {
        if let Some(index) = self.any_alive() {
            self.kill(index);
        }
    }

    fn restart(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        self.restart_daemon(daemon);
    }

    /// Starts a daemon again on the VM of its latest start, if that start is dead or fenced.
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

    /// Starts a daemon on another VM, while the old one is dead, cut off or just alive.
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
            1 => self.network.platform_cuts.push(latest),
            _ => {}
        }
        self.replace(daemon);
    }

    /// Starts a daemon on another VM; what becomes of the old start is the caller's affair.
    pub(crate) fn replace(&mut self, daemon: usize) {
        let latest = self.latest(daemon);
        let vm = format!("vm-{}-{}", daemon, self.next_incarnation)
            .parse()
            .unwrap();
        let claimed = match self.setup.planted {
            Planted::ClaimsSameVm => Some(self.processes[latest].vm.clone()),
            _ => None,
        };
        self.start(daemon, vm, claimed);
    }

    fn pause(&mut self) {
        let Some(index) = self.any_alive() else {
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

    /// Lets every process want everything.
    pub(crate) fn saturate(&mut self) {
        for process in &mut self.processes {
            process.demand.fill(100);
        }
    }

    fn cut(&mut self) {
        let Some(index) = self.any_alive() else {
            return;
        };
        let other = self.random.index(self.fleet.len());
        let own = self.processes[index].daemon;
        match self.random.below(6) {
            0 => self.network.cuts.push((index, other)),
            1 => {
                self.network.cuts.push((index, other));
                let back = self.latest(other);
                self.network.cuts.push((back, own));
            }
            2 => self.isolate(index),
            3 => self.network.platform_cuts.push(index),
            4 => {
                self.isolate(index);
                self.network.platform_cuts.push(index);
            }
            _ => self.split(),
        }
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        let own = self.processes[index].daemon;
        for daemon in 0..self.fleet.len() {
            self.network.cuts.push((index, daemon));
        }
        for process in &self.processes {
            self.network.cuts.push((process.id, own));
        }
    }

    /// Cuts what a process sends to daemons and asks of them, but for the daemon `spared`.
    pub(crate) fn mute(&mut self, index: usize, spared: Option<usize>) {
        let daemons = (0..self.fleet.len()).filter(|daemon| Some(*daemon) != spared);
        self.network
            .cuts
            .extend(daemons.map(|daemon| (index, daemon)));
    }

    /// Cuts the fleet in two; one half loses the platform half of the time.
    fn split(&mut self) {
        let border = self.random.index(self.fleet.len());
        let loses_platform = self.random.happens(500_000);
        for process in &self.processes {
            let far = (0..self.fleet.len())
                .filter(|daemon| (*daemon < border) != (process.daemon < border));
            self.network
                .cuts
                .extend(far.map(|daemon| (process.id, daemon)));
            if loses_platform && process.daemon < border {
                self.network.platform_cuts.push(process.id);
            }
        }
    }

    fn heal_some(&mut self) {
        match self.random.below(3) {
            0 => self.network.cuts.clear(),
            1 => self.network.platform_cuts.clear(),
            _ => self.heal_network(),
        }
    }

    pub(crate) fn heal_network(&mut self) {
        self.network.cuts.clear();
        self.network.platform_cuts.clear();
    }

    fn begin_outage(&mut self) {
        self.log.is_out = true;
    }

    fn end_outage(&mut self) {
        self.log.is_out = false;
    }

    /// Somebody fences a daemon, dead or not: the platform's list may be wrong.
    fn fence(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        if let Some(index) = self.any_alive() {
            self.fence_daemon(daemon, index);
        }
    }

    /// Process `index` fences the current start of another daemon.
    pub(crate) fn fence_daemon(&mut self, daemon: usize, index: usize) {
        let process = &mut self.processes[index];
        let member = process.state.roster().member(&self.fleet[daemon]).cloned();
        match member {
            Some(member) if !member.is_fenced && process.daemon != daemon => {
                process.write(ControlChange::Fence {
                    daemon: member.daemon,
                    incarnation: member.incarnation,
                });
            }
            _ => {}
        }
    }

    fn stop_any(&mut self) {
        if let Some(index) = self.any_alive() {
            self.stop(index);
        }
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.escrow.leave();
        process.is_leaving = true;
    }

    /// Whether the leave of a daemon was read by another one.
    pub(crate) fn has_left(&self, daemon: usize) -> bool {
        let other = self.latest((daemon + 1) % self.fleet.len());
        let roster = self.processes[other].state.roster();
        roster
            .member(&self.fleet[daemon])
            .is_some_and(|member| member.has_left)
    }

    fn release_any(&mut self) {
        let daemon = self.random.index(self.fleet.len());
        self.release(daemon);
    }

    /// An operator has seen that every start of a daemon but the latest is dead.
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
        if let (Some(incarnation), Some(index)) = (last_dead, self.any_alive()) {
            let daemon = self.fleet[daemon].clone();
            self.processes[index].write(ControlChange::Release {
                daemon,
                incarnation,
            });
        }
    }

    fn change_limits(&mut self) {
        let limits = self.random_limits();
        self.publish_limits(&limits);
    }

    /// Ends every fault, replaces what is dead or fenced, and waits until all has settled.
    pub(crate) fn settle(&mut self) {
        self.setup.rates = FaultRates::NONE;
        self.is_probe = true;
        self.heal_network();
        self.log.is_out = false;
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
        // A release is refused before the join that supersedes the dead starts.
        self.run(self.setup.settings.longest_work_ms.get());
        for daemon in 0..self.fleet.len() {
            self.release(daemon);
        }
        self.run(2 * self.setup.settings.handover_ms().get());
    }

    /// Lets one daemon want everything of a team, and says how much of what it may have it did
    /// not get within `span_ms`.
    pub(crate) fn probe(&mut self, daemon: usize, team: usize, span_ms: u64) -> usize {
        let index = self.latest(daemon);
        let reachable = self.reachable(team, daemon);
        self.processes[index].demand[team] = reachable;
        self.run(span_ms);
        let missing = reachable - self.running_at(index, team);
        self.processes[index].demand[team] = 0;
        self.run(2 * self.setup.settings.longest_work_ms.get());
        missing
    }
}
