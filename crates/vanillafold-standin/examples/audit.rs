//! Audits the traces of a run.
//!
//! The exit status is 0 if no invariant failed, 1 if one did, and 2 if there were no events or the
//! traces could not be read.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use vanillafold_standin::audit::{Report, SettleTime, audit_dir};
use vanillafold_standin::trace::TraceError;

/// The exit status if an invariant failed.
const FAILED: u8 = 1;
/// The exit status if there is no verdict.
const NO_VERDICT: u8 = 2;

#[derive(Debug)]
struct Arguments {
    settle: SettleTime,
    json: bool,
    dir: PathBuf,
}

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
enum AuditError {
    #[error(transparent)]
    Trace(#[from] TraceError),
    #[error("the report can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("no event in {}; expected *.jsonl traces, check the path", dir.display())]
    NoEvent { dir: PathBuf },
}

fn arguments() -> OptionParser<Arguments> {
    let settle = long("settle-ms")
        .help("How long a change may take to be in force everywhere")
        .argument::<SettleTime>("N")
        .fallback(SettleTime::default())
        .display_fallback();
    let json = long("json").help("Write the report as JSON").switch();
    let dir = positional::<PathBuf>("DIR").help("The directory of the *.jsonl traces");
    construct!(Arguments { settle, json, dir })
        .to_options()
        .descr("Audits the traces of a run.")
}

fn print(report: &Report, json: bool) -> Result<(), serde_json::Error> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

fn run(arguments: &Arguments) -> Result<ExitCode, AuditError> {
    let report = audit_dir(&arguments.dir, arguments.settle)?;
    print(&report, arguments.json)?;
    if report.is_empty() {
        let dir = arguments.dir.clone();
        return Err(AuditError::NoEvent { dir });
    }
    let status = if report.has_failed() { FAILED } else { 0 };
    Ok(ExitCode::from(status))
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("audit: {error}");
            ExitCode::from(NO_VERDICT)
        }
    }
}
