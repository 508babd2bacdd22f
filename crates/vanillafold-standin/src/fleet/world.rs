//! A deployment of fleet daemons as processes, with stand-ins of all that they speak to.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;

use super::address::take_daemon_host;
use super::caller::Caller;
use super::config::{POOL, first_config};
use super::daemon::Daemon;
use super::http::serve;
use super::journal::{EventKind, Journal};
use super::network::{Link, Network};
use super::relay::{Gates, Reachability, Relay};
use super::runner::{Runner, RunnerOptions};
use super::store::Store;
use super::vms::VmService;
use crate::rig::{RigError, Signal};

/// The availability zones; daemons and runners take turns.
pub(super) const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// The group of the store whose members own the shard.
const OWNERS_GROUP: &str = "vanillafold-owners";
/// Time in which all daemons must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What to start.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of runners.
    pub runners: usize,
    /// What each runner has, in thousandths of a core.
    pub runner_cpu_millis: u64,
    /// The daemons' program.
    pub program: PathBuf,
    /// An existing directory for settings and logs.
    pub directory: PathBuf,
}

/// A running deployment. Dropping it kills the daemons.
#[derive(Debug)]
pub struct World {
    store: Rc<Store>,
    network: Rc<Network>,
    journal: Rc<Journal>,
    daemons: Rc<[Daemon]>,
    /// The relay from each daemon to the store.
    store_relays: Vec<Rc<Relay>>,
    runners: Rc<RefCell<Vec<Rc<Runner>>>>,
}

impl World {
    /// Starts the stand-ins and daemons, and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// [`RigError`] if something can't be started or a daemon does not become ready.
    pub async fn start(options: &WorldOptions) -> Result<Self, RigError> {
        let failed = || RigError::io("starting the stand-ins");
        let network = Rc::new(Network::default());
        let store = Store::new(&network);
        store.put("keyed.op", "config", first_config());
        let journal = Rc::new(Journal::default());
        let runners = Rc::new(RefCell::default());
        let vms = serve(Rc::new(VmService(Rc::clone(&runners)))).map_err(failed())?;
        let mut daemons = Vec::with_capacity(options.daemons);
        let mut store_relays = Vec::with_capacity(options.daemons);
        for index in 0..options.daemons {
            let name = format!("edge-{index}");
            let zone = ZONES[index % ZONES.len()];
            let listening = store.listen(index, &name).map_err(failed())?;
            let relay = network.relay(&name, listening).map_err(failed())?;
            let ip = take_daemon_host();
            let services = (relay.address(), vms);
            let (program, directory) = (&options.program, &options.directory);
            let daemon = Daemon::new(&name, zone, ip, services, program, directory);
            daemons.push(daemon.map_err(failed())?);
            store_relays.push(relay);
        }
        let world = Self {
            store,
            network,
            journal,
            daemons: daemons.into(),
            store_relays,
            runners,
        };
        for index in 0..options.runners {
            let zone = ZONES[index % ZONES.len()];
            world
                .add_runner(zone, options.runner_cpu_millis)
                .map_err(failed())?;
        }
        for daemon in world.daemons() {
            daemon.start()?;
        }
        world.wait_ready().await?;
        Ok(world)
    }

    /// Starts a further runner under a new id.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn add_runner(&self, zone: &str, cpu_millis: u64) -> io::Result<()> {
        let mut runners = self.runners.borrow_mut();
        let index = runners.len();
        let options = RunnerOptions {
            pool: POOL.to_owned(),
            zone: zone.to_owned(),
            cpu_millis,
        };
        let id = format!("i-{index:010x}");
        self.journal.add(EventKind::RunnerAdded {
            runner: index,
            zone: zone.to_owned(),
        });
        runners.push(Runner::start(
            index,
            id,
            options,
            &self.store,
            &self.journal,
        )?);
        Ok(())
    }

    /// The store.
    #[must_use]
    pub fn store(&self) -> &Rc<Store> {
        &self.store
    }

    /// The network.
    #[must_use]
    pub fn network(&self) -> &Rc<Network> {
        &self.network
    }

    /// What was seen so far.
    #[must_use]
    pub fn journal(&self) -> &Rc<Journal> {
        &self.journal
    }

    /// The daemons.
    #[must_use]
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// The runners.
    #[must_use]
    pub fn runners(&self) -> Vec<Rc<Runner>> {
        self.runners.borrow().clone()
    }

    /// Returns a new caller.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller::new(&self.daemons, &self.journal)
    }

    /// Returns the index of the daemon that the store names as the owner of the shard.
    #[must_use]
    pub fn owner(&self) -> Option<usize> {
        let member = self.store.owner(OWNERS_GROUP, 0)?;
        let name = member.split('/').nth(1)?;
        self.daemons.iter().position(|daemon| daemon.name() == name)
    }

    /// Starts a daemon that does not run.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the program can't be started.
    pub fn start_daemon(&self, daemon: usize) -> Result<(), RigError> {
        let daemon = &self.daemons[daemon];
        self.network.set_listening(daemon.peer_address(), true);
        daemon.start()
    }

    /// Kills a daemon (SIGKILL), or tidies up after one that has ended.
    pub fn kill_daemon(&self, daemon: usize) {
        let daemon = &self.daemons[daemon];
        daemon.kill();
        self.network.set_listening(daemon.peer_address(), false);
    }

    /// Returns the relays of a daemon's connections that are in use.
    pub(super) fn relays(&self, daemon: usize, link: Link) -> Vec<Rc<Relay>> {
        let own = &self.daemons[daemon];
        let is_peer = |address| {
            let mut daemons = self.daemons.iter();
            daemons.any(|daemon| daemon.peer_address() == address)
        };
        let store = &self.store_relays[daemon];
        match link {
            Link::Store => vec![Rc::clone(store)],
            Link::Owner => {
                let owner = self.owner().map(|owner| self.daemons[owner].peer_address());
                self.network.select(|source, destination| {
                    source == own.name() && Some(destination) == owner
                })
            }
            Link::Peers => self.network.select(|source, destination| {
                destination == own.peer_address() || (source == own.name() && is_peer(destination))
            }),
            Link::Runners => self.network.select(|source, destination| {
                source == own.name() && destination != store.destination() && !is_peer(destination)
            }),
        }
    }

    /// Ends all that still disturbs connections, the store, the runners and running daemons.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if a signal can't be sent.
    pub(super) fn end_faults(&self) -> Result<(), RigError> {
        self.store.remove_all_faults();
        self.store.set_groups_paused(false);
        for relay in self.network.select(|_, _| true) {
            relay.set_delay_ms(0);
            relay.set_reachability(Reachability::Open);
            relay.set_all(Gates::default());
        }
        for runner in self.runners() {
            runner.set_fault(None);
        }
        for daemon in self.daemons() {
            daemon.signal(Signal::Continue)?;
        }
        self.journal.add(EventKind::FaultsOver);
        Ok(())
    }

    /// Kills all daemons.
    pub(super) fn kill_daemons(&self) {
        for daemon in self.daemons() {
            daemon.kill();
        }
    }

    /// Returns the relay from one daemon to another.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn peer_relay(&self, from: usize, to: usize) -> io::Result<Rc<Relay>> {
        let source = self.daemons[from].name();
        self.network.relay(source, self.daemons[to].peer_address())
    }

    /// Waits until a condition holds; returns whether it does within `limit`.
    pub async fn wait_until(&self, limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
        let began = Instant::now();
        while !holds().await {
            if began.elapsed() > limit {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
        true
    }

    /// Waits until all daemons are ready for callers.
    ///
    /// # Errors
    ///
    /// [`RigError::NotReady`] names a daemon that does not become ready in time.
    pub async fn wait_ready(&self) -> Result<(), RigError> {
        for daemon in self.daemons() {
            let is_ready = self.wait_until(START_TIMEOUT, async || daemon.is_ready().await);
            if !is_ready.await {
                return Err(RigError::NotReady {
                    process: daemon.name().to_owned(),
                    reason: format!("not within {START_TIMEOUT:?}"),
                });
            }
        }
        Ok(())
    }
}

/// Creates an empty directory for a world's settings and logs under `parent`.
///
/// # Errors
///
/// The directory can't be created.
pub fn world_directory(parent: &std::path::Path, name: &str) -> io::Result<PathBuf> {
    let directory = parent.join(format!("{name}-{}", std::process::id()));
    // It exists only if an earlier process had the same id.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}
