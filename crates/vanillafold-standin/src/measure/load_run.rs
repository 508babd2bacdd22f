//! Runs load generators, each as a process of its own, and checks their summaries.

use serde::Deserialize;

use super::{BENCH_QUEUE, BenchRig};
use crate::rig::{Child, OutcomeCount, RigError};

/// Where a load sends its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPath {
    /// Directly to the runners.
    Direct,
    /// To the daemon, which forwards them to the runners.
    Daemon,
}

/// The summary of one load generator.
#[derive(Debug, Deserialize)]
pub struct LoadResult {
    /// Requests that were sent.
    pub sent: u64,
    /// The duration of the run in seconds, until the last request ended.
    pub seconds: f64,
    /// Answers whose body was incomplete or wrong.
    pub wrong_bodies: u64,
    /// How often requests ended in each way.
    pub outcomes: Vec<OutcomeCount>,
    /// The time from the intended start to the end of the answer, in microseconds.
    pub answer_us: Quantiles,
    /// The time from the intended start until the request is sent, in microseconds.
    pub send_late_us: Quantiles,
    cpu: LoadCpu,
}

/// Percentiles of a time, in microseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct LoadCpu {
    user_us: u64,
    system_us: u64,
}

impl LoadResult {
    /// Returns the CPU time of the load generator, in microseconds.
    #[must_use]
    pub const fn cpu_us(&self) -> u64 {
        self.cpu.user_us + self.cpu.system_us
    }

    /// Returns answers per second: every request was answered, as `run_loads` requires.
    #[must_use]
    pub fn answers_per_s(&self) -> f64 {
        self.sent as f64 / self.seconds
    }
}

/// Runs `generators` load generators at the same time, waits until all have ended and returns their
/// summaries.
///
/// # Errors
///
/// [`RigError`] if a process fails or any request did not end in a complete and correct answer:
/// measurements with failed requests would be meaningless.
pub(crate) fn run_loads(
    rig: &BenchRig,
    path: LoadPath,
    generators: usize,
    options: &[String],
) -> Result<Vec<LoadResult>, RigError> {
    let children: Result<Vec<Child>, RigError> = (0..generators)
        .map(|number| start(rig, path, number, options))
        .collect();
    children?.into_iter().map(finish).collect()
}

fn start(
    rig: &BenchRig,
    path: LoadPath,
    number: usize,
    options: &[String],
) -> Result<Child, RigError> {
    let name = format!("load-{number}");
    let mut arguments = vec![
        format!("--process={name}"),
        format!("--seed={}", number + 1),
        format!("--queue={BENCH_QUEUE}"),
        format!("--key={BENCH_QUEUE}={}", rig.key()),
        "--idempotent-share=1".to_owned(),
    ];
    arguments.extend_from_slice(options);
    match path {
        LoadPath::Direct => {
            arguments.push("--direct".to_owned());
            arguments.extend(rig.vms().iter().map(|vm| format!("--to={vm}")));
        }
        LoadPath::Daemon => arguments.push(format!("--to={}", rig.caller_address())),
    }
    let program = rig.cluster().standin_path("load");
    Child::start(&name, &program, &arguments, rig.cluster().directory())
}

fn finish(child: Child) -> Result<LoadResult, RigError> {
    let operation = child.name().to_owned();
    let failed = |reason: String| RigError::Failed {
        operation: operation.clone(),
        reason,
    };
    let (text, status) = child.wait_with_output()?;
    if !status.success() {
        return Err(failed(format!("ended with {status}")));
    }
    let result: LoadResult =
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))?;
    let only_answers = result.outcomes.iter().all(|end| end.outcome == "answer");
    match only_answers && result.wrong_bodies == 0 && result.sent > 0 {
        true => Ok(result),
        false => Err(failed(format!(
            "expected only complete and correct answers, found {} wrong bodies and {:?}",
            result.wrong_bodies, result.outcomes
        ))),
    }
}
