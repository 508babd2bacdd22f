//! The scripts of the second review: `review-standin-2 CASE RECORD`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment the case runs without its disruption.

mod http;
mod json;
mod record;
mod runner;
mod store;
mod world;

mod cases;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// A script may run for 120 s.
const LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("expected the name of a case and the path of its record");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {case}, disruption: {trouble}"));
    let (send, receive) = std::sync::mpsc::channel();
    let running = Arc::clone(&record);
    let name = case.clone();
    thread::spawn(move || {
        let _ = send.send(cases::run(&name, &running, trouble));
    });
    let outcome = match receive.recv_timeout(LIMIT) {
        Ok(outcome) => outcome,
        Err(_) => {
            cases::end_daemons();
            Err("the case took too long".to_owned())
        }
    };
    let (status, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, broken.join("\n          ")),
        Err(problem) => (2, format!("the case couldn't run: {problem}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(status)
}
