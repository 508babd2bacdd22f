//! Starts the processes of a deployment, operates them and records what was done in a trace.

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

use super::layout::{DaemonSpec, Layout, RunnerSpec};
use super::{Child, DEMO_OPERATOR, DEMO_TEAMS, RigError, Signal};
use crate::trace::{
    Limit, OpenQueue, PoolSize, ProcessChange, ProcessName, Published, TraceEvent, TraceWriter,
    VmChange, Withdrawn, monotonic_us,
};

/// The shared secret with which daemons authenticate to their peers.
const PEER_TOKEN: &str = "rig-peer-token-0001";
/// The credential with which operators authenticate at the admin address.
const OPERATOR_CREDENTIAL: &str = "rig-operator-credential-0001";
/// How long a daemon may take until it is ready and knows every VM.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time limit of an HTTP request to a control or admin address.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A team's key with its secret.
#[derive(Debug, Clone)]
pub struct KeyWithSecret {
    /// The team that the key authenticates.
    pub team: String,
    /// The key as callers present it, `{key-id}.{secret}`.
    pub text: String,
}

/// A running deployment; dropping it kills its processes.
#[derive(Debug)]
pub struct Cluster {
    /// The zones, daemons, runners and addresses of the deployment.
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
    spec: DaemonSpec,
    child: Option<Child>,
}

#[derive(Debug)]
struct RunningRunner {
    child: Child,
    control: SocketAddr,
}

/// The process that runs the relays in front of some VM and peer addresses.
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
    /// Starts the platform, runners and daemons of `layout`, publishes `catalogue` and waits until
    /// every daemon is ready. Each VM or peer address in `relayed` is reached through a relay, at
    /// which link faults can be injected. `directory` is emptied first; `programs` is the directory
    /// of the built programs.
    ///
    /// # Errors
    ///
    /// [`RigError`] if a file can't be written, a process does not become ready or the catalogue is
    /// rejected.
    pub fn start(
        layout: Layout,
        relayed: &[SocketAddr],
        catalogue: &str,
        directory: &Path,
        programs: &Path,
    ) -> Result<Self, RigError> {
        if directory.exists() {
            fs::remove_dir_all(directory)
                .map_err(RigError::io(format!("removing {}", directory.display())))?;
        }
        let traces = directory.join("traces");
        fs::create_dir_all(&traces)
            .map_err(RigError::io(format!("creating {}", traces.display())))?;
        let trace = TraceWriter::create(&traces, &ProcessName::from("rig"))
            .map_err(|error| failed("starting the trace", error))?;
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
        for spec in cluster.layout.daemons().cloned().collect::<Vec<_>>() {
            cluster.daemons.push(RunningDaemon { spec, child: None });
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

    // --- Paths, names and processes --------------------------------------------------------

    /// Returns the directory that all processes write their traces to.
    #[must_use]
    pub fn traces(&self) -> PathBuf {
        self.directory.join("traces")
    }

    /// Returns the operators' credential for the admin addresses.
    #[must_use]
    pub const fn operator_credential(&self) -> &'static str {
        OPERATOR_CREDENTIAL
    }

    /// Returns the names of all daemons, running or not.
    #[must_use]
    pub fn daemon_names(&self) -> Vec<String> {
        let names = self.daemons.iter().map(|daemon| daemon.spec.name.clone());
        names.collect()
    }

    /// Returns the names and addresses of the daemons that run.
    pub fn running_daemons(&self) -> impl Iterator<Item = &DaemonSpec> {
        self.daemons
            .iter()
            .filter(|daemon| daemon.child.is_some())
            .map(|daemon| &daemon.spec)
    }

    /// Returns the process id of a daemon; `None` if it does not run.
    #[must_use]
    pub fn daemon_pid(&self, name: &str) -> Option<u32> {
        self.daemons
            .iter()
            .find(|daemon| daemon.spec.name == name)
            .and_then(|daemon| daemon.child.as_ref().map(Child::id))
    }

    /// Returns the path of a program of this workspace.
    #[must_use]
    pub fn program_path(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Returns the path of a stand-in or another example program.
    #[must_use]
    pub fn standin_path(&self, name: &str) -> PathBuf {
        self.programs.join("examples").join(name)
    }

    /// Returns the directory of the settings files and of the processes' error logs.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    // --- Operators' commands ---------------------------------------------------------------

    /// Publishes a catalogue with `vanillafoldctl apply` and records its team limits, pool sizes with
    /// their availability budgets, and open queues in the trace.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the catalogue is invalid or rejected, [`RigError::Io`] if it can't be
    /// written.
    pub fn publish(&mut self, catalogue: &str) -> Result<(), RigError> {
        let path = self.directory.join("catalogue.ini");
        fs::write(&path, catalogue).map_err(RigError::io(format!("writing {}", path.display())))?;
        self.record_catalogue(catalogue)?;
        let path = path.display().to_string();
        let text = self.run_vanillafoldctl(&["apply"], &[&path])?;
        let offset = text
            .rsplit(' ')
            .next()
            .and_then(|offset| offset.trim().parse().ok());
        if let Some(offset) = offset {
            self.record(&TraceEvent::Published(Published {
                at_us: monotonic_us(),
                offset,
            }))?;
        }
        Ok(())
    }

    /// Gives a team a key with the id `id` and returns it with its secret.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the operators' tool rejects it.
    pub fn give_key(&mut self, id: &str, team: &str) -> Result<KeyWithSecret, RigError> {
        let text = self.run_vanillafoldctl(
            &["key", "give"],
            &["--id", id, "--owner", DEMO_OPERATOR, "--team", team],
        )?;
        let key = text
            .lines()
            .find_map(|line| line.strip_prefix("key="))
            .ok_or_else(|| failed("reading the key that vanillafoldctl printed", text.clone()))?;
        Ok(KeyWithSecret {
            team: team.to_owned(),
            text: key.to_owned(),
        })
    }

    /// Gives a key to each team of the demonstration's catalogue.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the operators' tool rejects a key.
    pub fn give_demo_keys(&mut self) -> Result<Vec<KeyWithSecret>, RigError> {
        DEMO_TEAMS
            .iter()
            .map(|team| self.give_key(&format!("{team}-1"), team))
            .collect()
    }

    /// Withdraws the key with the id `id` and records the withdrawal in the trace.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the operators' tool rejects it.
    pub fn withdraw_key(&mut self, id: &str) -> Result<(), RigError> {
        self.run_vanillafoldctl(&["key", "withdraw"], &["--id", id])?;
        self.record(&TraceEvent::Withdrawn(Withdrawn {
            at_us: monotonic_us(),
            key: id.into(),
        }))
    }

    /// Runs a command of the operators' tool against the platform and returns its standard output.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] with the tool's standard error if it exits with a failure.
    pub fn run_vanillafoldctl(
        &self,
        command: &[&str],
        arguments: &[&str],
    ) -> Result<String, RigError> {
        let platform = self.layout.platform.to_string();
        let output = Command::new(self.program_path("vanillafoldctl"))
            .args(command)
            .args(["--platform", &platform, "--author", DEMO_OPERATOR])
            .args(arguments)
            .output()
            .map_err(RigError::io("running vanillafoldctl"))?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(failed(
                &format!("vanillafoldctl {}", command.join(" ")),
                String::from_utf8_lossy(&output.stderr),
            )),
        }
    }

    // --- Faults ----------------------------------------------------------------------------

    /// Kills a daemon with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// [`RigError`] if there is no such daemon or the trace can't be written.
    pub fn kill_daemon(&mut self, name: &str) -> Result<(), RigError> {
        self.record(&TraceEvent::Killed(process_change(name)))?;
        drop(self.daemon(name)?.child.take());
        Ok(())
    }

    /// Writes the settings of a daemon and starts it; [`Cluster::wait_serving`] waits until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// [`RigError`] if there is no such daemon or it can't be started.
    pub fn start_daemon(&mut self, name: &str) -> Result<(), RigError> {
        let spec = self.daemon(name)?.spec.clone();
        let settings = self.write_settings(&spec)?;
        let program = self.program_path("vanillafold");
        let logs = self.directory.clone();
        let child = Child::start(name, &program, &[settings.display().to_string()], &logs)?;
        self.record(&TraceEvent::Started(process_change(name)))?;
        self.daemon(name)?.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM to a daemon; [`Cluster::wait_stopped`] waits for its end.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the daemon does not run or the trace can't be written.
    pub fn stop_daemon(&mut self, name: &str) -> Result<(), RigError> {
        self.record(&TraceEvent::Stopping(process_change(name)))?;
        self.signal_daemon(name, Signal::Terminate)
    }

    /// Waits until a daemon that was sent SIGTERM ends; returns `true` if it ended with success.
    ///
    /// # Errors
    ///
    /// [`RigError`] if there is no such daemon or it can't be waited for.
    pub fn wait_stopped(&mut self, name: &str) -> Result<bool, RigError> {
        match self.daemon(name)?.child.take() {
            Some(child) => child.wait_with_output().map(|(_, status)| status.success()),
            None => Ok(false),
        }
    }

    /// Sends a signal to a daemon.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the daemon does not run or the signal can't be sent.
    pub fn signal_daemon(&mut self, name: &str, signal: Signal) -> Result<(), RigError> {
        match &self.daemon(name)?.child {
            Some(child) => child.signal(signal),
            None => Err(failed(&format!("signalling {name}"), "it does not run")),
        }
    }

    /// Sets the mode of all VMs of a runner process, such as `normal` or `hang`.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the runner does not run or rejects the mode.
    pub fn set_runner_mode(&self, runner: &RunnerSpec, mode: &str) -> Result<(), RigError> {
        let control = self
            .runners
            .iter()
            .find(|running| running.child.name() == runner.name)
            .map(|running| running.control)
            .ok_or_else(|| failed(&runner.name, "it does not run"))?;
        let body = format!("mode={mode}");
        self.call(Method::POST, control, "/control/mode", &body)
            .map(drop)
    }

    /// Sets the mode of the relay in front of `to`, such as `pass` or `silent`.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if there is no relay in front of `to` or it rejects the mode.
    pub fn set_link_mode(&self, to: SocketAddr, mode: &str) -> Result<(), RigError> {
        let operation = || format!("setting the mode of the relay in front of {to}");
        let network = self
            .network
            .as_ref()
            .ok_or_else(|| failed(&operation(), "no relays were started"))?;
        let index = network
            .relays
            .iter()
            .position(|relay| relay.to == to)
            .ok_or_else(|| failed(&operation(), "there is no relay in front of this address"))?;
        let body = format!("mode={mode}\nlink={index}");
        self.call(Method::POST, network.control, "/control", &body)
            .map(drop)
    }

    /// Sets faults of the platform stand-in, given as `name=value` lines.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the platform rejects them.
    pub fn set_platform_faults(&self, faults: &str) -> Result<(), RigError> {
        let platform = self.layout.platform;
        self.call(Method::POST, platform, "/control/faults", faults)
            .map(drop)
    }

    /// Has the platform list a VM as leaving, and records in the trace that it goes out of service as
    /// planned.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the platform refuses or the trace can't be written.
    pub fn drain_vm(&mut self, vm: &str, pool: &str) -> Result<(), RigError> {
        self.record(&TraceEvent::VmDown(vm_change(vm, pool)))?;
        let path = format!("/vms/{vm}/drain");
        self.call(Method::POST, self.layout.platform, &path, "")
            .map(drop)
    }

    /// Has the platform reboot a VM.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the platform refuses.
    pub fn reboot_vm(&self, vm: &str) -> Result<(), RigError> {
        let path = format!("/vms/{vm}/reboot");
        self.call(Method::POST, self.layout.platform, &path, "")
            .map(drop)
    }

    /// Records in the trace that a VM is back in service.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the trace can't be written.
    pub fn record_vm_up(&mut self, vm: &str, pool: &str) -> Result<(), RigError> {
        self.record(&TraceEvent::VmUp(vm_change(vm, pool)))
    }

    /// Writes an event to the rig's trace and flushes it.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the trace can't be written.
    pub fn record(&mut self, event: &TraceEvent) -> Result<(), RigError> {
        self.trace
            .write(event)
            .and_then(|()| self.trace.flush())
            .map_err(|error| failed("writing the trace", error))
    }

    /// Sends one HTTP request with the operators' credential and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if no answer comes within 3 s or its status is not a success.
    pub fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<String, RigError> {
        let operation = format!("{method} {address}{path}");
        let mut headers = HeaderMap::new();
        let credential = format!("Bearer {OPERATOR_CREDENTIAL}");
        if let Ok(value) = HeaderValue::from_str(&credential) {
            headers.insert(AUTHORIZATION, value);
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = block_on(async {
            let mut client = Client::new(address, CALL_TIMEOUT);
            client.request(method, path, &headers, body).await
        });
        match answer {
            Ok(answer) if answer.status().is_success() => {
                Ok(String::from_utf8_lossy(answer.body()).into_owned())
            }
            Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Err(failed(&operation, "503 Service Unavailable"))
            }
            Ok(answer) => Err(failed(&operation, answer.status())),
            Err(error) => Err(failed(&operation, error)),
        }
    }

    /// Waits until `condition` holds; `description` names it in the error.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the condition does not hold within `limit`.
    pub fn wait_until(
        &self,
        description: &str,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Result<(), RigError> {
        let started_at = Instant::now();
        while !condition(self) {
            if started_at.elapsed() > limit {
                return Err(failed(
                    description,
                    format!("did not happen within {limit:?}"),
                ));
            }
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    // --- Start of the processes ------------------------------------------------------------

    fn start_platform(&mut self) -> Result<(), RigError> {
        let address = self.layout.platform.to_string();
        let arguments = ["--address".to_owned(), address];
        let program = self.standin_path("platform");
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
        let program = self.standin_path("link");
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
        for spec in self.layout.runners().cloned().collect::<Vec<_>>() {
            let mut arguments = vec![
                format!("--process={}", spec.name),
                format!("--pool={}", spec.pool),
                format!("--address={}", spec.first_vm_address),
                format!("--trace={}", self.traces().display()),
            ];
            arguments.extend(spec.vms.iter().map(|vm| format!("--vm={vm}")));
            let program = self.standin_path("runner");
            let mut child = Child::start(&spec.name, &program, &arguments, &self.directory)?;
            let control = ready_address(&mut child, "control")?;
            lines.push_str(&self.vm_lines(&spec, control));
            self.vm_count += spec.vms.len();
            self.runners.push(RunningRunner { child, control });
        }
        let platform = self.layout.platform;
        self.call(Method::POST, platform, "/control/vms", &lines)
            .map(drop)
    }

    fn vm_lines(&self, spec: &RunnerSpec, control: SocketAddr) -> String {
        let lines = spec.vms.iter().zip(0..).map(|(vm, index)| {
            let address = self.relayed_address(spec.vm_address(index));
            let RunnerSpec {
                zone, rack, pool, ..
            } = spec;
            format!("{vm} {zone} {rack} {pool} {address} live {control}\n")
        });
        lines.collect()
    }

    /// Returns the address of the relay in front of `address`, or `address` if it has no relay.
    fn relayed_address(&self, address: SocketAddr) -> SocketAddr {
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

    fn write_settings(&self, spec: &DaemonSpec) -> Result<PathBuf, RigError> {
        let mut text = format!(
            "[daemon]\nname = {}\nzone = {}\ncluster = rig\ncallers = {}\npeers = {}\nadmin = {}\n\
             peer_token_file = peer-token\noperator_credential_file = operator-credential\n\
             linger_timeout_ms = 20000\n\n[limits]\nlongest_work_ms = {}\n\n[platform]\naddress = {}\nlist_interval_ms = 500\n",
            spec.name,
            spec.zone,
            spec.caller_address,
            spec.peer_address,
            spec.admin_address,
            self.layout.longest_work_ms,
            self.layout.platform,
        );
        for peer in self.layout.daemons().filter(|peer| peer.name != spec.name) {
            let address = self.relayed_address(peer.peer_address);
            text.push_str(&format!(
                "\n[peer {}]\nzone = {}\naddress = {address}\n",
                peer.name, peer.zone
            ));
        }
        let path = self.directory.join(format!("{}.ini", spec.name));
        fs::write(&path, text).map_err(RigError::io(format!("writing {}", path.display())))?;
        Ok(path)
    }

    /// Waits until a daemon is ready and its state page shows every VM.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if that takes longer than 20 s.
    pub fn wait_serving(&mut self, name: &str) -> Result<(), RigError> {
        let admin = self.daemon(name)?.spec.admin_address;
        let wanted = self.vm_count;
        self.wait_until(&format!("{name} serving"), READY_TIMEOUT, |cluster| {
            cluster.call(Method::GET, admin, "/ready", "").is_ok()
                && cluster
                    .call(Method::GET, admin, "/state", "")
                    .is_ok_and(|state| state.matches("\nvm ").count() >= wanted)
        })
    }

    fn daemon(&mut self, name: &str) -> Result<&mut RunningDaemon, RigError> {
        self.daemons
            .iter_mut()
            .find(|daemon| daemon.spec.name == name)
            .ok_or_else(|| failed(&format!("finding {name}"), "there is no such daemon"))
    }

    fn record_catalogue(&mut self, catalogue: &str) -> Result<(), RigError> {
        let parsed = vanillafold::types::CatalogueFile::parse("catalogue.ini", catalogue);
        let parsed = parsed.map_err(|problems| {
            let first = problems.first().map(ToString::to_string);
            failed("parsing the catalogue", first.unwrap_or_default())
        })?;
        let at_us = monotonic_us();
        for team in &parsed.teams {
            self.record(&TraceEvent::Limit(Limit {
                at_us,
                team: team.id.as_str().into(),
                limit: team.limit.get(),
            }))?;
        }
        for queue in parsed.queues.iter().filter(|queue| queue.open) {
            self.record(&TraceEvent::OpenQueue(OpenQueue {
                at_us,
                queue: queue.id.as_str().into(),
            }))?;
        }
        for pool in &parsed.pools {
            let vms = self.layout.vms_of(pool.id.as_str());
            let least = pool.min_available_percent.of_rounded_up(vms as u64);
            self.record(&TraceEvent::PoolSize(PoolSize {
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
        .ok_or_else(|| {
            failed(
                &format!("starting {}", child.name()),
                format!("its ready line has no address named {name}"),
            )
        })
}

fn process_change(process: &str) -> ProcessChange {
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
    reason = "callers pass values that they have just created"
)]
pub(crate) fn failed(operation: &str, reason: impl std::fmt::Display) -> RigError {
    RigError::Failed {
        operation: operation.to_owned(),
        reason: reason.to_string(),
    }
}

fn block_on<F: std::future::Future>(future: F) -> F::Output {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(future),
        Err(error) => panic!("building the runtime failed: {error}"),
    }
}
