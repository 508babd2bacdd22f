//! What was sent, answered and run.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// A run of a task as its runner saw it.
#[derive(Debug, Clone)]
pub struct SeenRun {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// Whether its end was taken note of.
    pub noted: bool,
    /// Whether the runner's lease lapsed between the end and the note of it.
    pub lapsed: bool,
}

/// The record of a script.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Runs>,
    /// Jobs whose runs are only counted, as they are too many for a line each.
    counted: Mutex<Vec<String>>,
}

#[derive(Default)]
struct Runs {
    seen: Vec<SeenRun>,
    /// Position of the newest run of this task, number and runner.
    newest: HashMap<(String, u64, String), usize>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record's file")),
            runs: Mutex::default(),
            counted: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0)
    }

    pub fn line(&self, line: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {line}", ms / 1_000, ms % 1_000);
    }

    /// Leaves out the lines about the runs of a job.
    pub fn count_only(&self, job: &str) {
        self.counted.lock().unwrap().push(job.to_owned());
    }

    fn run_line(&self, task: &str, line: impl Fn() -> String) {
        let is_counted = self
            .counted
            .lock()
            .unwrap()
            .iter()
            .any(|job| task.starts_with(job.as_str()));
        if !is_counted {
            self.line(&line());
        }
    }

    pub fn started(&self, task: &str, run: u64, runner: &str, token: u64) {
        self.run_line(task, || {
            format!("START {task} run {run} on {runner}, fencing token {token}")
        });
        let mut runs = self.runs.lock().unwrap();
        let at = runs.seen.len();
        runs.newest
            .insert((task.to_owned(), run, runner.to_owned()), at);
        runs.seen.push(SeenRun {
            task: task.to_owned(),
            run,
            runner: runner.to_owned(),
            started_ms: self.now_ms(),
            ended_ms: None,
            how: "",
            noted: false,
            lapsed: false,
        });
    }

    pub fn ended(&self, task: &str, run: u64, runner: &str, how: &'static str) {
        self.run_line(task, || {
            format!("END   {task} run {run} on {runner}: {how}")
        });
        let now_ms = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let key = (task.to_owned(), run, runner.to_owned());
        if let Some(at) = runs.newest.get(&key).copied() {
            runs.seen[at].ended_ms = Some(now_ms);
            runs.seen[at].how = how;
        }
    }

    fn change(&self, (task, run, runner): (&str, u64, &str), change: impl Fn(&mut SeenRun)) {
        let mut runs = self.runs.lock().unwrap();
        let key = (task.to_owned(), run, runner.to_owned());
        if let Some(at) = runs.newest.get(&key).copied() {
            change(&mut runs.seen[at]);
        }
    }

    /// Records that the end of a run is taken note of.
    pub fn noted(&self, task: &str, run: u64, runner: &str) {
        self.change((task, run, runner), |row| row.noted = true);
    }

    /// Records that the lease lapsed before the end of a run was taken note of.
    pub fn lapsed(&self, task: &str, run: u64, runner: &str) {
        self.change((task, run, runner), |row| row.lapsed = true);
    }

    pub fn runs(&self) -> Vec<SeenRun> {
        self.runs.lock().unwrap().seen.clone()
    }
}
