//! The daemon's program.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use vanillafold::{Daemon, Settings, start_logging};

/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;
/// The daemon could not start.
const EXIT_START: u8 = 1;

/// The program's arguments.
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
        .footer("Exit status: 0 stopped or settings good, 1 could not start, 2 settings wrong")
}

fn main() -> ExitCode {
    let options = options().run();
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
    let started = start_logging(settings.log_level)
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
