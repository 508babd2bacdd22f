//! `referee CASE RECORD`: plays a case against the system's daemons. Exit status: 1 the rule was broken,
//! 0 it held, 2 the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod check;
mod cloud;
mod http;
mod json;
mod runner;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// What the cases need from the command line and the environment.
pub struct Setting<'a> {
    pub record: &'a Path,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: referee CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting {
        record: Path::new(record),
        trouble,
    };
    match cases::play(case, &setting) {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
