//! Carries a series of faults out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::clients::Clients;
use super::plan::{FaultKind, LinkFault, ODD_REGISTRATIONS, PlannedFault, Victim};
use crate::fleet::journal::EventKind;
use crate::fleet::relay::{Gate, Gates, Reachability, Relay};
use crate::fleet::runner::Runner;
use crate::fleet::store::StoreFault;
use crate::fleet::world::World;
use crate::rig::{RigError, Signal};

/// Time after a SIGTERM after which the platform kills a process, as in the daemons' settings.
const GRACE: Duration = Duration::from_secs(6);
/// Time between two looks at the daemons.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// The key of the registration that makes no sense.
const ODD_KEY: &str = "i-odd";

/// Carries faults out on a world.
#[derive(Debug)]
pub(super) struct Injector {
    world: Rc<World>,
    clients: Rc<Clients>,
    /// Whether crashed runners come back under their earlier ids.
    keeps_runner_ids: bool,
    /// Whether each daemon is being started again.
    restarting: Vec<Cell<bool>>,
    /// Whether each daemon has had no configuration yet since its start.
    unconfigured: Vec<Cell<bool>>,
    /// The number of daemons that did not exit in time after a SIGTERM.
    overdue_exits: Cell<u32>,
}

impl Injector {
    pub(super) fn new(world: &Rc<World>, clients: &Rc<Clients>, keeps_runner_ids: bool) -> Self {
        let flags = || world.daemons().iter().map(|_| Cell::default()).collect();
        Self {
            world: Rc::clone(world),
            clients: Rc::clone(clients),
            keeps_runner_ids,
            restarting: flags(),
            unconfigured: flags(),
            overdue_exits: Cell::default(),
        }
    }

    pub(super) const fn overdue_exits(&self) -> u32 {
        self.overdue_exits.get()
    }

    /// Plays one fault from its beginning to its end.
    pub(super) async fn play(&self, fault: PlannedFault) -> Result<(), RigError> {
        sleep(Duration::from_millis(fault.at_ms)).await;
        let PlannedFault { lasts_ms, kind, .. } = fault;
        let lasts = Duration::from_millis(lasts_ms);
        let journal = self.world.journal();
        journal.fault(format!("begins for {lasts_ms} ms: {kind:?}"));
        match kind {
            FaultKind::Suspend(victim) => self.suspend(victim, lasts).await?,
            FaultKind::Kill(victim) => self.restart(victim, lasts, false).await?,
            FaultKind::Terminate(victim) => self.restart(victim, lasts, true).await?,
            FaultKind::Link(victim, link, fault) => {
                let relays = self.world.relays(self.daemon(victim), link);
                begin_link_fault(&relays, fault);
                sleep(lasts).await;
                end_link_fault(&relays, fault);
            }
            FaultKind::Store(victim, call, effect) => {
                let fault = StoreFault {
                    daemon: victim.map(|victim| self.daemon(victim)),
                    call,
                    effect,
                };
                self.world.store().add_fault(fault);
                sleep(lasts).await;
                self.world.store().remove_fault(fault);
            }
            FaultKind::StoreDown(effect, pauses) => {
                let fault = StoreFault {
                    daemon: None,
                    call: None,
                    effect,
                };
                self.world.store().add_fault(fault);
                self.world.store().set_groups_paused(pauses);
                sleep(lasts).await;
                self.world.store().set_groups_paused(false);
                self.world.store().remove_fault(fault);
            }
            FaultKind::RunnerOrders(runner, fault) => {
                if let Some(runner) = self.running_runner(runner) {
                    runner.set_fault(Some(fault));
                    sleep(lasts).await;
                    runner.set_fault(None);
                }
            }
            FaultKind::RunnerCrash(runner) => self.crash_runner(runner, lasts).await?,
            FaultKind::Burst(jobs) => self.clients.burst(jobs),
            FaultKind::OddRegistration(index) => {
                let store = self.world.store();
                store.put("keyed.servers", ODD_KEY, ODD_REGISTRATIONS[index]);
                sleep(lasts).await;
                store.put("keyed.servers", ODD_KEY, "");
            }
        }
        journal.fault(format!("ends: {kind:?}"));
        Ok(())
    }

    /// Notes daemons that have ended by themselves and starts them again, and notes when daemons that
    /// were started have a configuration; until dropped.
    pub(super) async fn watch(&self) -> Result<(), RigError> {
        loop {
            for (daemon, process) in self.world.daemons().iter().enumerate() {
                if !self.restarting[daemon].get() && process.has_ended_by_itself() {
                    let reason = "has ended by itself".to_owned();
                    self.world
                        .journal()
                        .add(EventKind::DaemonFailed { daemon, reason });
                    self.world.kill_daemon(daemon);
                    self.start(daemon)?;
                }
                if self.unconfigured[daemon].get() && process.is_configured().await {
                    self.unconfigured[daemon].set(false);
                    let configured = EventKind::DaemonConfigured { daemon };
                    self.world.journal().add(configured);
                }
            }
            sleep(WATCH_INTERVAL).await;
        }
    }

    fn start(&self, daemon: usize) -> Result<(), RigError> {
        let started = EventKind::DaemonStarted { daemon };
        self.world.journal().add(started);
        self.unconfigured[daemon].set(true);
        self.world.start_daemon(daemon)
    }

    fn daemon(&self, victim: Victim) -> usize {
        match victim {
            // Without an owner any daemon will do.
            Victim::Owner => self.world.owner().unwrap_or(0),
            Victim::Daemon(daemon) => daemon,
        }
    }

    async fn suspend(&self, victim: Victim, lasts: Duration) -> Result<(), RigError> {
        let index = self.daemon(victim);
        let daemon = &self.world.daemons()[index];
        self.world
            .journal()
            .fault(format!("daemon {index} is suspended"));
        daemon.signal(Signal::Stop)?;
        sleep(lasts).await;
        daemon.signal(Signal::Continue)
    }

    async fn restart(
        &self,
        victim: Victim,
        pause: Duration,
        graceful: bool,
    ) -> Result<(), RigError> {
        let index = self.daemon(victim);
        if self.restarting[index].replace(true) {
            return Ok(());
        }
        let journal = self.world.journal();
        let daemon = &self.world.daemons()[index];
        if graceful {
            journal.fault(format!("daemon {index} gets SIGTERM"));
            daemon.signal(Signal::Terminate)?;
            let ended = async || !daemon.is_running();
            if !self.world.wait_until(GRACE, ended).await {
                journal.fault(format!("daemon {index} has not exited in time"));
                self.overdue_exits.set(self.overdue_exits.get() + 1);
            }
        }
        self.world.kill_daemon(index);
        journal.fault(format!("daemon {index} is down"));
        sleep(pause).await;
        self.start(index)?;
        self.restarting[index].set(false);
        Ok(())
    }

    async fn crash_runner(&self, index: usize, lasts: Duration) -> Result<(), RigError> {
        let failed = || RigError::io("starting a runner");
        let Some(runner) = self.running_runner(index) else {
            return Ok(());
        };
        runner.crash();
        sleep(lasts).await;
        let options = runner.options();
        match self.keeps_runner_ids {
            true => runner.start_again(),
            false => {
                let added = self.world.add_runner(&options.zone, options.cpu_millis);
                added.map_err(failed())?;
            }
        }
        Ok(())
    }

    /// Returns one of the runners that are up.
    fn running_runner(&self, index: usize) -> Option<Rc<Runner>> {
        let mut runners = self.world.runners();
        runners.retain(|runner| runner.is_up());
        let index = index.checked_rem(runners.len())?;
        Some(runners.swap_remove(index))
    }
}

fn begin_link_fault(relays: &[Rc<Relay>], fault: LinkFault) {
    for relay in relays {
        match fault {
            LinkFault::Gates(gates) => relay.set_all(gates),
            LinkFault::Silence => relay.set_open_connections(Gates::both(Gate::Dropped)),
            LinkFault::Cut => {
                relay.set_all(Gates::both(Gate::Held));
                relay.set_reachability(Reachability::Silent);
            }
            LinkFault::Reset => relay.reset_open_connections(),
            LinkFault::DelayMs(delay_ms) => relay.set_delay_ms(delay_ms),
        }
    }
}

fn end_link_fault(relays: &[Rc<Relay>], fault: LinkFault) {
    for relay in relays {
        match fault {
            LinkFault::Gates(_) => relay.set_all(Gates::default()),
            LinkFault::Silence | LinkFault::Reset => {}
            LinkFault::Cut => {
                relay.set_reachability(Reachability::Open);
                relay.set_all(Gates::default());
            }
            LinkFault::DelayMs(_) => relay.set_delay_ms(0),
        }
    }
}
