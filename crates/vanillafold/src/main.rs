//! The program `vanillafold`, which runs the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use vanillafold::{Daemon, LogOutput, Settings, start_logging};

/// Exit status if the settings or the arguments are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit status if the daemon could not start.
const EXIT_START: u8 = 1;
/// Maximum width of a help text, in characters.
const HELP_WIDTH: usize = 100;

/// Arguments of the program.
#[derive(Debug)]
struct Options {
    check: bool,
    settings: PathBuf,
}

fn options() -> OptionParser<Options> {
    let check = long("check")
        .help("Check the settings, print every problem and exit")
        .switch();
    let settings = positional("SETTINGS").help("The settings file (INI)");
    construct!(Options { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("vanillafold: the daemon that runs on every entry VM")
        .footer("Exit status: 0 stopped or settings good, 1 could not start, 2 settings or arguments wrong")
}

/// Prints the help or version that the arguments request, or what is wrong with them; returns the
/// exit status.
fn print_failure(failure: ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_SETTINGS),
    }
}

fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_failure(failure),
    };
    let settings = match Settings::from_file(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: the settings are good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let started = start_logging(settings.log_level, LogOutput::StandardError)
        .map_err(|error| error.to_string())
        .and_then(|_handle| {
            Daemon::new(settings)
                .run()
                .map_err(|error| error.to_string())
        });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}
