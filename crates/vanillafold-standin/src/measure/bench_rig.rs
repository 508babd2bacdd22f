//! The deployment that benchmarks run against: one daemon with runners that write no trace.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;

use crate::rig::{Child, Cluster, KeyWithSecret, Layout, RigError};

/// The queue that benchmarks send to; the pool and the team have the same name.
pub const BENCH_QUEUE: &str = "bench";

/// The setting `longest_work_ms` of the daemon. It must exceed the deadline of requests with a long
/// body, which is longer than that of any other request.
const LONGEST_WORK_MS: u64 = 700_000;

const CATALOGUE: &str = "\
[pool bench]
owner = ops@shop.example
class = normal
slots_per_vm = 32
connections_per_vm = 64

[team bench]
owner = ops@shop.example
limit = 10000

[queue bench]
owner = ops@shop.example
class = normal
pool = bench
teams = bench
deadline_ms = 5000
max_deadline_ms = 600000
max_waiting = 10000
max_body = 4294967296
";

/// The slots of each VM: more than in the catalogue, so that a load sent directly to the runners,
/// which does not balance between VMs, is not refused.
const RUNNER_SLOTS: u32 = 256;
/// The connections that each VM accepts: more than in the catalogue, so that a load sent directly to
/// the runners is not refused.
const RUNNER_CONNECTIONS: u32 = 512;
const RUNNER_PROCESSES: u8 = 3;
const VMS_PER_PROCESS: u16 = 4;
const FIRST_RUNNER_PORT: u16 = 7300;
/// How long the daemon may take until it shows every VM as available.
const VM_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// A deployment of one daemon, with runners that write no trace.
#[derive(Debug)]
pub struct BenchRig {
    cluster: Cluster,
    runners: Vec<Child>,
    vms: Vec<SocketAddr>,
    key: KeyWithSecret,
    daemon: String,
}

impl BenchRig {
    /// Starts the deployment at the loopback addresses of `rig` and waits until the daemon knows every
    /// VM. `directory` is emptied first.
    ///
    /// # Errors
    ///
    /// [`RigError`] if a process does not start or the daemon does not learn its VMs within 20 s.
    pub fn start(rig: u8, directory: &Path, programs: &Path) -> Result<Self, RigError> {
        // The layout has no runners because those of a cluster write traces, and the CPU time of the
        // flushes would be measured as well.
        let mut layout = Layout::new(rig, 1, 1, &[], 0);
        layout.longest_work_ms = LONGEST_WORK_MS;
        let mut cluster = Cluster::start(layout, &[], CATALOGUE, directory, programs)?;
        let key = cluster.give_key("bench-1", BENCH_QUEUE)?;
        let zone = cluster.layout.zones[0].name.clone();
        let daemon = cluster.layout.zones[0].daemons[0].name.clone();
        let mut runners = Vec::new();
        let mut vms = Vec::new();
        let mut lines = String::new();
        for process in 0..RUNNER_PROCESSES {
            let first = SocketAddr::from(([127, rig, 0, 200 + process], FIRST_RUNNER_PORT));
            let name = format!("runner-{process}");
            let mut arguments = vec![
                format!("--process={name}"),
                "--pool=bench".to_owned(),
                format!("--slots={RUNNER_SLOTS}"),
                format!("--connections={RUNNER_CONNECTIONS}"),
                format!("--address={first}"),
            ];
            for index in 0..VMS_PER_PROCESS {
                let vm = format!("bench-{process}-{index}");
                let address = SocketAddr::new(first.ip(), first.port() + index);
                arguments.push(format!("--vm={vm}"));
                lines.push_str(&format!(
                    "{vm} {zone} rack-{process} bench {address} live\n"
                ));
                vms.push(address);
            }
            let program = cluster.standin_path("runner");
            let mut child = Child::start(&name, &program, &arguments, cluster.directory())?;
            child.wait_ready()?;
            runners.push(child);
        }
        cluster.call(
            Method::POST,
            cluster.layout.platform,
            "/control/vms",
            &lines,
        )?;
        let rig = Self {
            cluster,
            runners,
            vms,
            key,
            daemon,
        };
        rig.wait_for_vms()?;
        Ok(rig)
    }

    /// Returns the cluster with the platform and the daemon.
    #[must_use]
    pub const fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Returns the address at which the daemon accepts callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.cluster.layout.zones[0].daemons[0].caller_address
    }

    /// Returns the addresses at which the VMs listen.
    #[must_use]
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms
    }

    /// Returns the key to send requests with, including its secret.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key.text
    }

    /// Returns the daemon's process id.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the daemon does not run.
    pub fn daemon_pid(&self) -> Result<u32, RigError> {
        self.cluster
            .daemon_pid(&self.daemon)
            .ok_or_else(|| RigError::Failed {
                operation: format!("finding {}", self.daemon),
                reason: "it does not run".to_owned(),
            })
    }

    /// Returns the process ids of the runners.
    #[must_use]
    pub fn runner_pids(&self) -> Vec<u32> {
        self.runners.iter().map(Child::id).collect()
    }

    fn wait_for_vms(&self) -> Result<(), RigError> {
        let admin = self.cluster.layout.zones[0].daemons[0].admin_address;
        let wanted = self.vms.len();
        self.cluster.wait_until(
            "the daemon knows its VMs",
            VM_DISCOVERY_TIMEOUT,
            |cluster| {
                cluster
                    .call(Method::GET, admin, "/state", "")
                    .is_ok_and(|page| page.matches("standing=open").count() >= wanted)
            },
        )
    }
}
