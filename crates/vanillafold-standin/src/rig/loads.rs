//! The load generators of a demonstration, their summaries, and the audit of a run.

use std::fmt;

use serde::Deserialize;

use super::{Child, Cluster, KeyWithSecret, RigError};
use crate::rig::cluster::failed;

/// The queues of the demonstration's catalogue, each with the teams whose keys its requests carry.
/// Requests to an open queue carry none.
const QUEUE_TEAMS: [(&str, &[&str]); 6] = [
    ("quotes", &["cafes", "hostels", "counters", "schools"]),
    ("bookings", &["cafes", "hostels", "riders"]),
    ("stock", &["riders", "back-office"]),
    ("proofs", &["counters", "schools"]),
    ("archive", &["back-office", "schools"]),
    ("opening-hours", &[]),
];

/// The duration, rate and seed of the load of a demonstration.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// How long requests are sent, in seconds.
    pub seconds: u32,
    /// Requests per second, over all queues.
    pub rate: u32,
    /// The seed of all random choices; each load generator derives its own from it.
    pub seed: u64,
}

/// The load generators of a demonstration, one for each queue.
#[derive(Debug)]
pub struct LoadGenerators {
    children: Vec<Child>,
}

/// The summary that a load generator prints at its end.
#[derive(Debug, Deserialize)]
pub struct LoadSummary {
    /// The name of the load generator.
    pub process: String,
    /// Requests that were sent, repeats included.
    pub sent: u64,
    /// Answers that came within their deadline.
    pub on_time: u64,
    /// How often requests ended in each way.
    pub outcomes: Vec<OutcomeCount>,
    /// The latency of answers, in microseconds.
    pub answer_us: Latency,
}

/// The number of requests that ended with one outcome and result code.
#[derive(Debug, Deserialize)]
pub struct OutcomeCount {
    /// The outcome, as written to traces, such as `answer`.
    pub outcome: String,
    /// The result code; absent if none was received.
    pub code: Option<u16>,
    /// The number of requests.
    pub count: u64,
}

/// Percentiles of a latency, in microseconds.
#[derive(Debug, Deserialize)]
pub struct Latency {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
}

impl LoadGenerators {
    /// Starts a load generator for each queue; each spreads its connections over every daemon. For a
    /// tenth of the run the rate is five times the mean, and during the tenth after that a twentieth
    /// of the mean.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if a process can't be started.
    pub fn start(
        cluster: &Cluster,
        keys: &[KeyWithSecret],
        plan: &LoadPlan,
    ) -> Result<Self, RigError> {
        let program = cluster.standin_path("load");
        let mut children = Vec::new();
        for ((queue, teams), number) in QUEUE_TEAMS.into_iter().zip(0..) {
            let name = format!("load-{queue}");
            let mut arguments = vec![
                format!("--process={name}"),
                format!("--seed={}", plan.seed * 100 + number),
                format!("--seconds={}", plan.seconds),
                format!("--rate={}", plan.rate / QUEUE_TEAMS.len() as u32),
                format!("--queue={queue}"),
                "--work-ms=exp:20".to_owned(),
                "--deadline-ms=2000".to_owned(),
                "--repeat-lost".to_owned(),
                format!("--trace={}", cluster.traces().display()),
            ];
            arguments.extend(bursts(plan.seconds));
            for spec in cluster.layout.daemons() {
                arguments.push(format!("--to={}={}", spec.name, spec.caller_address));
            }
            for key in keys.iter().filter(|key| teams.contains(&key.team.as_str())) {
                arguments.push(format!("--key={}={}", key.team, key.text));
            }
            children.push(Child::start(
                &name,
                &program,
                &arguments,
                cluster.directory(),
            )?);
        }
        Ok(Self { children })
    }

    /// Waits until every load generator has ended and returns their summaries.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if a process ended with a failure or its summary can't be parsed.
    pub fn finish(self) -> Result<Vec<LoadSummary>, RigError> {
        let mut summaries = Vec::new();
        for child in self.children {
            let name = child.name().to_owned();
            let (text, status) = child.wait_with_output()?;
            if !status.success() {
                return Err(failed(&name, format!("ended with {status}")));
            }
            summaries.push(serde_json::from_str(&text).map_err(|error| failed(&name, error))?);
        }
        Ok(summaries)
    }
}

/// Returns `--burst` options: five times the mean rate for a tenth of the run, then a twentieth of it
/// for as long.
fn bursts(seconds: u32) -> [String; 2] {
    let start_ms = 1_000 * seconds / 3;
    let length_ms = 1_000 * seconds / 10;
    [
        format!("--burst=5@{start_ms}+{length_ms}"),
        format!("--burst=0.05@{}+{length_ms}", start_ms + length_ms),
    ]
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent={} on_time={} p50_us={} p99_us={}",
            self.process, self.sent, self.on_time, self.answer_us.p50, self.answer_us.p99
        )?;
        for end in &self.outcomes {
            match end.code {
                Some(code) => write!(f, " {}({code})={}", end.outcome, end.count)?,
                None => write!(f, " {}={}", end.outcome, end.count)?,
            }
        }
        Ok(())
    }
}

/// Runs the audit program on the traces of a cluster; returns its report and whether it passed.
///
/// # Errors
///
/// [`RigError::Io`] if the program can't be run.
pub fn run_audit(cluster: &Cluster) -> Result<(String, bool), RigError> {
    let arguments = [cluster.traces().display().to_string()];
    let program = cluster.standin_path("audit");
    let child = Child::start("audit", &program, &arguments, cluster.directory())?;
    let (report, status) = child.wait_with_output()?;
    Ok((report, status.success()))
}
