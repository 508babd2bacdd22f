//! The loads of a demonstration and what they say at their end.

use std::fmt;

use serde::Deserialize;

use super::{Child, Cluster, KeyText, RigError};
use crate::rig::cluster::failed;

/// Queues of the demonstration's catalogue with the teams whose keys are sent to them.
const QUEUE_TEAMS: [(&str, &[&str]); 6] = [
    ("quotes", &["cafes", "hostels", "counters", "schools"]),
    ("bookings", &["cafes", "hostels", "riders"]),
    ("stock", &["riders", "back-office"]),
    ("proofs", &["counters", "schools"]),
    ("archive", &["back-office", "schools"]),
    ("opening-hours", &[]),
];

/// How the loads of a demonstration run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// For how long, in seconds.
    pub seconds: u32,
    /// Requests a second over all queues.
    pub rate: u32,
    /// The seed of everything that varies.
    pub seed: u64,
}

/// The loads of a demonstration.
#[derive(Debug)]
pub struct LoadProcesses {
    children: Vec<Child>,
}

/// What one load says at its end.
#[derive(Debug, Deserialize)]
pub struct LoadSummary {
    /// Its name.
    pub process: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers within the deadline.
    pub on_time: u64,
    /// How requests ended.
    pub outcomes: Vec<OutcomeCount>,
    /// The latency of answers.
    pub answer_us: Latency,
}

/// How often requests ended in one way.
#[derive(Debug, Deserialize)]
pub struct OutcomeCount {
    /// The way.
    pub outcome: String,
    /// The result code, if there was one.
    pub code: Option<u16>,
    /// How often.
    pub count: u64,
}

/// Quantiles of a latency, in microseconds.
#[derive(Debug, Deserialize)]
pub struct Latency {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
}

impl LoadProcesses {
    /// Starts a load for each queue, spread over every daemon. Each has a burst of five times the
    /// mean and then a twentieth of it.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn start(cluster: &Cluster, keys: &[KeyText], plan: &LoadPlan) -> Result<Self, RigError> {
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

    /// Waits until every load has ended.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if one failed.
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

/// Five times the mean for a tenth of the time, then a twentieth for as long.
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

/// Lets the audit judge the traces of a cluster; returns its report and whether it is clean.
///
/// # Errors
///
/// [`RigError`].
pub fn run_audit(cluster: &Cluster) -> Result<(String, bool), RigError> {
    let arguments = [cluster.traces().display().to_string()];
    let program = cluster.standin_path("audit");
    let child = Child::start("audit", &program, &arguments, cluster.directory())?;
    let (report, status) = child.wait_with_output()?;
    Ok((report, status.success()))
}
