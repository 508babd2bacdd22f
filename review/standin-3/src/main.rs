//! The scripts of the review's cases: `scene CASE RECORD`. `TROUBLE=0` leaves the disruption out.
//!
//! Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.

mod cases;
mod cloud;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod world;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// A script that isn't over by then could not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: scene CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(path));
    record.line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the script takes too long");
        world::finish(2);
    });
    let (case, record_of_case) = (case.clone(), Arc::clone(&record));
    let ran = thread::spawn(move || cases::run(&case, &record_of_case, trouble)).join();
    let code = match ran {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    };
    record.line(&format!("exit status {code}"));
    world::finish(code);
}
