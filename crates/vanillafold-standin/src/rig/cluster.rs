//! A running deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use vanillafold::wire::http::Client;

use super::layout::{DaemonPlace, Layout, RunnerPlace};
use super::{Child, DEMO_OPERATOR, DEMO_TEAMS, RigError, Signal};
use crate::trace::{
    Limit, OpenQueue, PoolSize, ProcessChange, ProcessName, Published, TraceEvent, TraceWriter,
    VmChange, Withdrawn, monotonic_us,
};

/// What peers prove that they know.
const PEER_TOKEN: &str = "rig-peer-token-0001";
/// What operators prove that they know.
const OPERATOR_CREDENTIAL: &str = "rig-operator-credential-0001";
/// How long a daemon may take until it is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// How long a control call may take.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Between two looks whether something has happened.
const POLL: Duration = Duration::from_millis(20);

/// A key with its secret.
#[derive(Debug, Clone)]
pub struct KeyText {
    /// The team that it speaks for.
    pub team: String,
    /// The key as callers present it.
    pub text: String,
}

/// A running deployment; its processes end when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// Where everything stands.
    pub layout: Layout,
    directory: PathBuf,
    programs: PathBuf,
    platform: Option<Child>,
    network: Option<Network>,
    runners: Vec<RunningRunner>,
    daemons: Vec<RunningDaemon>,
    trace: TraceWriter,
    vm_count: usize,
}

#[derive(Debug)]
struct RunningDaemon {
    place: DaemonPlace,
    child: Option<Child>,
}

#[derive(Debug)]
struct RunningRunner {
    child: Child,
    control: SocketAddr,
}

/// The relays in front of some addresses.
#[derive(Debug)]
struct Network {
    _child: Child,
    control: SocketAddr,
    relays: Vec<Relay>,
}

#[derive(Debug)]
struct Relay {
    listen: SocketAddr,
    to: SocketAddr,
}

impl Cluster {
    /// Starts platform, runners and daemons of `layout`, publishes `catalogue` and waits until
    /// every daemon serves. What `relayed` names is reached through a relay: each VM or peer
    /// address in it gets one. `directory` is emptied first.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn start(
        layout: Layout,
        relayed: &[SocketAddr],
        catalogue: &str,
        directory: &Path,
        programs: &Path,
    ) -> Result<Self, RigError> {
        if directory.exists() {
            fs::remove_dir_all(directory)
                .map_err(RigError::io(format!("emptying {}", directory.display())))?;
        }
        let traces = directory.join("traces");
        fs::create_dir_all(&traces)
            .map_err(RigError::io(format!("making {}", traces.display())))?;
        let trace = TraceWriter::create(&traces, &ProcessName::from("rig"))
            .map_err(|error| refused("starting the trace", error))?;
        let mut cluster = Self {
            layout,
            directory: directory.to_owned(),
            programs: programs.to_owned(),
            platform: None,
            network: None,
            runners: Vec::new(),
            daemons: Vec::new(),
            trace,
            vm_count: 0,
        };
        cluster.start_platform()?;
        cluster.start_network(relayed)?;
        cluster.start_runners()?;
        cluster.write_secrets()?;
        for place in cluster.layout.daemons().cloned().collect::<Vec<_>>() {
            cluster.daemons.push(RunningDaemon { place, child: None });
        }
        cluster.publish(catalogue)?;
        for name in cluster.daemon_names() {
            cluster.start_daemon(&name)?;
        }
        for name in cluster.daemon_names() {
            cluster.wait_serving(&name)?;
        }
        Ok(cluster)
    }

    // --- What it consists of ---------------------------------------------------------------

    /// Where traces are written.
    #[must_use]
    pub fn traces(&self) -> PathBuf {
        self.directory.join("traces")
    }

    /// The operators' credential.
    #[must_use]
    pub const fn operator_credential(&self) -> &'static str {
        OPERATOR_CREDENTIAL
    }

    /// The daemons' names.
    #[must_use]
    pub fn daemon_names(&self) -> Vec<String> {
        let names = self.daemons.iter().map(|daemon| daemon.place.name.clone());
        names.collect()
    }

    /// The daemons that run, with their places.
    pub fn running_daemons(&self) -> impl Iterator<Item = &DaemonPlace> {
        self.daemons
            .iter()
            .filter(|daemon| daemon.child.is_some())
            .map(|daemon| &daemon.place)
    }

    /// The process id of a daemon that runs.
    #[must_use]
    pub fn daemon_id(&self, name: &str) -> Option<u32> {
        self.daemons
            .iter()
            .find(|daemon| daemon.place.name == name)
            .and_then(|daemon| daemon.child.as_ref().map(Child::id))
    }

    /// The path of a program of this workspace.
    #[must_use]
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// The path of a stand-in.
    #[must_use]
    pub fn standin(&self, name: &str) -> PathBuf {
        self.programs.join("examples").join(name)
    }

    /// Where the processes write what goes wrong.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    // --- Operators' work -------------------------------------------------------------------

    /// Publishes a catalogue and notes limits, budgets and open queues in the trace.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn publish(&mut self, catalogue: &str) -> Result<(), RigError> {
        let path = self.directory.join("catalogue.ini");
        fs::write(&path, catalogue).map_err(RigError::io(format!("writing {}", path.display())))?;
        self.note_catalogue(catalogue)?;
        let path = path.display().to_string();
        let text = self.operate(&["apply"], &[&path])?;
        let offset = text
            .rsplit(' ')
            .next()
            .and_then(|offset| offset.trim().parse().ok());
        if let Some(offset) = offset {
            self.note(&TraceEvent::Published(Published {
                at_us: monotonic_us(),
                offset,
            }))?;
        }
        Ok(())
    }

    /// Gives a key to a team.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn give_key(&mut self, id: &str, team: &str) -> Result<KeyText, RigError> {
        let text = self.operate(
            &["key", "give"],
            &["--id", id, "--owner", DEMO_OPERATOR, "--team", team],
        )?;
        let key = text
            .lines()
            .find_map(|line| line.strip_prefix("key="))
            .ok_or_else(|| refused("giving a key", text.clone()))?;
        Ok(KeyText {
            team: team.to_owned(),
            text: key.to_owned(),
        })
    }

    /// Gives a key to each team of a demonstration.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn give_demo_keys(&mut self) -> Result<Vec<KeyText>, RigError> {
        DEMO_TEAMS
            .iter()
            .map(|team| self.give_key(&format!("{team}-1"), team))
            .collect()
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn withdraw_key(&mut self, id: &str) -> Result<(), RigError> {
        self.operate(&["key", "withdraw"], &["--id", id])?;
        self.note(&TraceEvent::Withdrawn(Withdrawn {
            at_us: monotonic_us(),
            key: id.into(),
        }))
    }

    /// Runs a command of the operators' tool; returns what it prints.
    ///
    /// # Errors
    ///
    /// [`RigError::Refused`] with the tool's words if it fails.
    pub fn operate(&self, command: &[&str], arguments: &[&str]) -> Result<String, RigError> {
        let platform = self.layout.platform.to_string();
        let output = Command::new(self.program("vanillafoldctl"))
            .args(command)
            .args(["--platform", &platform, "--author", DEMO_OPERATOR])
            .args(arguments)
            .output()
            .map_err(RigError::io("running vanillafoldctl"))?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(refused(
                &format!("vanillafoldctl {}", command.join(" ")),
                String::from_utf8_lossy(&output.stderr),
            )),
        }
    }

    // --- Faults ----------------------------------------------------------------------------

    /// Kills a daemon.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn kill_daemon(&mut self, name: &str) -> Result<(), RigError> {
        self.note(&TraceEvent::Killed(change(name)))?;
        drop(self.daemon(name)?.child.take());
        Ok(())
    }

    /// Starts a daemon that does not run.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn start_daemon(&mut self, name: &str) -> Result<(), RigError> {
        let place = self.daemon(name)?.place.clone();
        let settings = self.write_settings(&place)?;
        let program = self.program("vanillafold");
        let logs = self.directory.clone();
        let child = Child::start(name, &program, &[settings.display().to_string()], &logs)?;
        self.note(&TraceEvent::Started(change(name)))?;
        self.daemon(name)?.child = Some(child);
        Ok(())
    }

    /// Asks a daemon to stop; [`Cluster::wait_stopped`] waits for its end.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn stop_daemon(&mut self, name: &str) -> Result<(), RigError> {
        self.note(&TraceEvent::Stopping(change(name)))?;
        self.signal_daemon(name, Signal::Terminate)
    }

    /// Waits for the end of a daemon that was asked to stop; says whether it ended well.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn wait_stopped(&mut self, name: &str) -> Result<bool, RigError> {
        match self.daemon(name)?.child.take() {
            Some(child) => child.finish().map(|(_, status)| status.success()),
            None => Ok(false),
        }
    }

    /// Sends a signal to a daemon.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn signal_daemon(&mut self, name: &str, signal: Signal) -> Result<(), RigError> {
        match &self.daemon(name)?.child {
            Some(child) => child.signal(signal),
            None => Err(refused(&format!("signalling {name}"), "it does not run")),
        }
    }

    /// Sets the mode of a runner process, for all its VMs.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn set_runner_mode(&self, runner: &RunnerPlace, mode: &str) -> Result<(), RigError> {
        let control = self
            .runners
            .iter()
            .find(|running| running.child.name() == runner.name)
            .map(|running| running.control)
            .ok_or_else(|| refused(&runner.name, "it does not run"))?;
        let body = format!("mode={mode}");
        self.call(Method::POST, control, "/control/mode", &body)
            .map(drop)
    }

    /// Sets the mode of the relay in front of `to`.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn set_link_mode(&self, to: SocketAddr, mode: &str) -> Result<(), RigError> {
        let what = || format!("setting the link to {to}");
        let network = self
            .network
            .as_ref()
            .ok_or_else(|| refused(&what(), "there are no links"))?;
        let index = network
            .relays
            .iter()
            .position(|relay| relay.to == to)
            .ok_or_else(|| refused(&what(), "there is no such link"))?;
        let body = format!("mode={mode}\nlink={index}");
        self.call(Method::POST, network.control, "/control", &body)
            .map(drop)
    }

    /// Sets faults of the platform.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn set_platform_faults(&self, faults: &str) -> Result<(), RigError> {
        let platform = self.layout.platform;
        self.call(Method::POST, platform, "/control/faults", faults)
            .map(drop)
    }

    /// Drains a VM.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn drain_vm(&mut self, vm: &str, pool: &str) -> Result<(), RigError> {
        self.note(&TraceEvent::VmDown(vm_change(vm, pool)))?;
        let path = format!("/vms/{vm}/drain");
        self.call(Method::POST, self.layout.platform, &path, "")
            .map(drop)
    }

    /// Reboots a VM.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn reboot_vm(&self, vm: &str) -> Result<(), RigError> {
        let path = format!("/vms/{vm}/reboot");
        self.call(Method::POST, self.layout.platform, &path, "")
            .map(drop)
    }

    /// Notes that a VM is back in service.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn note_vm_up(&mut self, vm: &str, pool: &str) -> Result<(), RigError> {
        self.note(&TraceEvent::VmUp(vm_change(vm, pool)))
    }

    /// Writes an event into the rig's trace.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn note(&mut self, event: &TraceEvent) -> Result<(), RigError> {
        self.trace
            .write(event)
            .and_then(|()| self.trace.flush())
            .map_err(|error| refused("writing the trace", error))
    }

    /// Makes one HTTP call with the operators' credential.
    ///
    /// # Errors
    ///
    /// [`RigError::Refused`] without an answer of success.
    pub fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<String, RigError> {
        let what = format!("{method} {address}{path}");
        let mut headers = HeaderMap::new();
        let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
        if let Ok(value) = HeaderValue::from_str(&credential) {
            headers.insert(AUTHORIZATION, value);
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = block_on(async {
            let mut client = Client::new(address, CALL_LIMIT);
            client.request(method, path, &headers, body).await
        });
        match answer {
            Ok(answer) if answer.status().is_success() => {
                Ok(String::from_utf8_lossy(answer.body()).into_owned())
            }
            Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Err(refused(&what, "not available now"))
            }
            Ok(answer) => Err(refused(&what, answer.status())),
            Err(error) => Err(refused(&what, error)),
        }
    }

    /// Waits until `condition` holds.
    ///
    /// # Errors
    ///
    /// [`RigError::Refused`] if it does not within `limit`.
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Result<(), RigError> {
        let begun = Instant::now();
        while !condition(self) {
            if begun.elapsed() > limit {
                return Err(refused(what, format!("not within {limit:?}")));
            }
            sleep(POLL);
        }
        Ok(())
    }

    // --- Starting --------------------------------------------------------------------------

    fn start_platform(&mut self) -> Result<(), RigError> {
        let address = self.layout.platform.to_string();
        let arguments = ["--address".to_owned(), address];
        let program = self.standin("platform");
        let mut child = Child::start("platform", &program, &arguments, &self.directory)?;
        child.wait_ready()?;
        self.platform = Some(child);
        Ok(())
    }

    fn start_network(&mut self, relayed: &[SocketAddr]) -> Result<(), RigError> {
        if relayed.is_empty() {
            return Ok(());
        }
        let mut relays = Vec::new();
        let mut arguments = Vec::new();
        for (to, number) in relayed.iter().zip(0..) {
            let listen = self.layout.link_address(number);
            for argument in ["--listen", &listen.to_string(), "--to", &to.to_string()] {
                arguments.push(argument.to_owned());
            }
            relays.push(Relay { listen, to: *to });
        }
        let program = self.standin("link");
        let mut child = Child::start("network", &program, &arguments, &self.directory)?;
        let control = ready_address(&mut child, "control")?;
        self.network = Some(Network {
            _child: child,
            control,
            relays,
        });
        Ok(())
    }

    fn start_runners(&mut self) -> Result<(), RigError> {
        let mut lines = String::new();
        for place in self.layout.runners().cloned().collect::<Vec<_>>() {
            let mut arguments = vec![
                format!("--process={}", place.name),
                format!("--pool={}", place.pool),
                format!("--address={}", place.address),
                format!("--trace={}", self.traces().display()),
            ];
            arguments.extend(place.vms.iter().map(|vm| format!("--vm={vm}")));
            let program = self.standin("runner");
            let mut child = Child::start(&place.name, &program, &arguments, &self.directory)?;
            let control = ready_address(&mut child, "control")?;
            lines.push_str(&self.vm_lines(&place, control));
            self.vm_count += place.vms.len();
            self.runners.push(RunningRunner { child, control });
        }
        let platform = self.layout.platform;
        self.call(Method::POST, platform, "/control/vms", &lines)
            .map(drop)
    }

    fn vm_lines(&self, place: &RunnerPlace, control: SocketAddr) -> String {
        let lines = place.vms.iter().zip(0..).map(|(vm, index)| {
            let address = self.through_network(place.vm_address(index));
            let RunnerPlace {
                zone, rack, pool, ..
            } = place;
            format!("{vm} {zone} {rack} {pool} {address} live {control}\n")
        });
        lines.collect()
    }

    /// The relay in front of `address`, or `address` itself.
    fn through_network(&self, address: SocketAddr) -> SocketAddr {
        self.network
            .iter()
            .flat_map(|network| &network.relays)
            .find(|relay| relay.to == address)
            .map_or(address, |relay| relay.listen)
    }

    fn write_secrets(&self) -> Result<(), RigError> {
        for (name, secret) in [
            ("peer-token", PEER_TOKEN),
            ("operator-credential", OPERATOR_CREDENTIAL),
        ] {
            let path = self.directory.join(name);
            fs::write(&path, secret)
                .map_err(RigError::io(format!("writing {}", path.display())))?;
        }
        Ok(())
    }

    fn write_settings(&self, place: &DaemonPlace) -> Result<PathBuf, RigError> {
        let mut text = format!(
            "[daemon]\nname = {}\nzone = {}\ncluster = rig\ncallers = {}\npeers = {}\nadmin = {}\n\
             peer_token_file = peer-token\noperator_credential_file = operator-credential\n\
             linger_timeout_ms = 20000\n\n[limits]\nlongest_work_ms = {}\n\n[platform]\naddress = {}\nlist_interval_ms = 500\n",
            place.name,
            place.zone,
            place.callers,
            place.peers,
            place.admin,
            self.layout.longest_work_ms,
            self.layout.platform,
        );
        for peer in self.layout.daemons().filter(|peer| peer.name != place.name) {
            let address = self.through_network(peer.peers);
            text.push_str(&format!(
                "\n[peer {}]\nzone = {}\naddress = {address}\n",
                peer.name, peer.zone
            ));
        }
        let path = self.directory.join(format!("{}.ini", place.name));
        fs::write(&path, text).map_err(RigError::io(format!("writing {}", path.display())))?;
        Ok(path)
    }

    /// Waits until a daemon is ready and knows every VM.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn wait_serving(&mut self, name: &str) -> Result<(), RigError> {
        let admin = self.daemon(name)?.place.admin;
        let wanted = self.vm_count;
        self.wait_until(&format!("{name} serving"), READY_LIMIT, |cluster| {
            cluster.call(Method::GET, admin, "/ready", "").is_ok()
                && cluster
                    .call(Method::GET, admin, "/state", "")
                    .is_ok_and(|state| state.matches("\nvm ").count() >= wanted)
        })
    }

    fn daemon(&mut self, name: &str) -> Result<&mut RunningDaemon, RigError> {
        self.daemons
            .iter_mut()
            .find(|daemon| daemon.place.name == name)
            .ok_or_else(|| refused(&format!("finding {name}"), "there is no such daemon"))
    }

    fn note_catalogue(&mut self, catalogue: &str) -> Result<(), RigError> {
        let parsed = vanillafold::types::CatalogueFile::parse("catalogue.ini", catalogue);
        let parsed = parsed.map_err(|problems| {
            let first = problems.first().map(ToString::to_string);
            refused("the catalogue", first.unwrap_or_default())
        })?;
        let at_us = monotonic_us();
        for team in &parsed.teams {
            self.note(&TraceEvent::Limit(Limit {
                at_us,
                team: team.id.as_str().into(),
                limit: team.limit.get(),
            }))?;
        }
        for queue in parsed.queues.iter().filter(|queue| queue.open) {
            self.note(&TraceEvent::OpenQueue(OpenQueue {
                at_us,
                queue: queue.id.as_str().into(),
            }))?;
        }
        for pool in &parsed.pools {
            let vms = self.layout.vms_of(pool.id.as_str());
            let least = pool.min_available_percent.of_rounded_up(vms as u64);
            self.note(&TraceEvent::PoolSize(PoolSize {
                at_us,
                pool: pool.id.as_str().into(),
                vms: u32::try_from(vms).unwrap_or(u32::MAX),
                min_available: u32::try_from(least).unwrap_or(u32::MAX),
                slots_per_vm: Some(pool.slots_per_vm.get()),
            }))?;
        }
        Ok(())
    }
}

fn ready_address(child: &mut Child, name: &str) -> Result<SocketAddr, RigError> {
    let pairs = child.wait_ready()?;
    pairs
        .iter()
        .find(|(key, _)| key == name)
        .and_then(|(_, value)| value.parse().ok())
        .ok_or_else(|| refused(&format!("starting {}", child.name()), format!("no {name}")))
}

fn change(process: &str) -> ProcessChange {
    ProcessChange {
        at_us: monotonic_us(),
        process: process.into(),
    }
}

fn vm_change(vm: &str, pool: &str) -> VmChange {
    VmChange {
        at_us: monotonic_us(),
        vm: vm.into(),
        pool: pool.into(),
        planned: true,
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "callers hand over what they just made"
)]
pub(crate) fn refused(what: &str, problem: impl std::fmt::Display) -> RigError {
    RigError::Refused {
        what: what.to_owned(),
        problem: problem.to_string(),
    }
}

fn block_on<F: std::future::Future>(future: F) -> F::Output {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(future),
        Err(error) => panic!("no runtime: {error}"),
    }
}
