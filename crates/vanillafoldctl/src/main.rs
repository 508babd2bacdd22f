//! The command-line tool of the operators: it publishes changes of the catalogue, keys, daemons and
//! evacuated zones to the platform's log.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};
use vanillafold::types::{AuthorId, DaemonId, KeyId, Owner, TeamId};

mod command;
mod publish;

use command::{
    CheckError, CheckOptions, DaemonError, InvalidFileError, KeyError, ZoneCommand, ZoneError,
};
use publish::{PublishError, Publisher};

/// The exit status if the log could not be read before the change was sent, or the change was not
/// appended or not accepted.
const EXIT_FAILED: u8 = 1;
/// The exit status if the catalogue file or the arguments are invalid, or if the file has warnings
/// and `check` denies them.
const EXIT_INVALID_INPUT: u8 = 2;
/// The exit status if the change may have been or may still be appended.
const EXIT_UNKNOWN: u8 = 3;
/// The maximum width of a line of help, in characters.
const HELP_WIDTH: usize = 100;

/// A parsed command line.
#[derive(Debug, Clone)]
enum Command {
    Check(CheckOptions),
    Apply {
        common: CommonOptions,
        file: PathBuf,
    },
    GiveKey {
        common: CommonOptions,
        id: KeyId,
        owner: Owner,
        team: TeamId,
    },
    WithdrawKey {
        common: CommonOptions,
        id: KeyId,
    },
    FenceDaemon {
        common: CommonOptions,
        daemon: DaemonId,
    },
    ReleaseDaemon {
        common: CommonOptions,
        daemon: DaemonId,
    },
    Zone(ZoneCommand),
}

/// The options that all commands share that use the platform.
#[derive(Debug, Clone)]
struct CommonOptions {
    platform: SocketAddr,
    author: AuthorId,
}

fn common() -> impl Parser<CommonOptions> {
    let platform = long("platform")
        .help("Address of the platform's log")
        .argument("IP:PORT");
    let author = long("author")
        .help("Who makes the change")
        .argument::<AuthorId>("NAME");
    construct!(CommonOptions { platform, author })
}

fn options() -> OptionParser<Command> {
    let check = command::check_options()
        .map(Command::Check)
        .to_options()
        .descr("Check a catalogue file and print every error and warning")
        .command("check");
    let file = command::file();
    let apply = construct!(Command::Apply { common(), file })
        .to_options()
        .descr("Bring the catalogue to what the file says")
        .command("apply");
    let key = key_commands()
        .to_options()
        .descr("Give and withdraw keys")
        .command("key");
    let daemon = daemon_commands()
        .to_options()
        .descr("Say that daemons are gone")
        .command("daemon");
    let zone = command::zone_commands()
        .map(Command::Zone)
        .to_options()
        .descr("Evacuate availability zones")
        .command("zone");
    construct!([check, apply, key, daemon, zone])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("vanillafoldctl: catalogue edits, keys, daemons and zones")
        .footer("Exit status: 0 done, 1 not taken, 2 wrong file or arguments, 3 not known")
}

fn key_commands() -> impl Parser<Command> {
    let id = || long("id").help("Name of the key").argument::<KeyId>("KEY");
    let give = {
        let id = id();
        let owner = long("owner").help("Who answers for it").argument("OWNER");
        let team = long("team")
            .help("The team that it speaks for")
            .argument("TEAM");
        construct!(Command::GiveKey { common(), id, owner, team })
            .to_options()
            .descr("Give a new key; it is printed once")
            .command("give")
    };
    let withdraw = {
        let id = id();
        construct!(Command::WithdrawKey { common(), id })
            .to_options()
            .descr("Withdraw a key for good")
            .command("withdraw")
    };
    construct!([give, withdraw])
}

fn daemon_commands() -> impl Parser<Command> {
    let daemon = || {
        long("daemon")
            .help("Name of the daemon")
            .argument::<DaemonId>("DAEMON")
    };
    let fence = {
        let daemon = daemon();
        construct!(Command::FenceDaemon { common(), daemon })
            .to_options()
            .descr("Its VM is gone for good: the others take over its units, but for its floor")
            .command("fence")
    };
    let release = {
        let daemon = daemon();
        construct!(Command::ReleaseDaemon { common(), daemon })
            .to_options()
            .descr("Its earlier VMs are dead, not just cut off: its floor may be used again")
            .command("release")
    };
    construct!([fence, release])
}

/// The error message of a failed command, with the exit status.
struct Failure {
    status: u8,
    message: String,
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "map_err passes its argument by value"
)]
impl Failure {
    fn invalid_input(error: impl ToString) -> Self {
        Self {
            status: EXIT_INVALID_INPUT,
            message: error.to_string(),
        }
    }

    fn failed(error: impl ToString) -> Self {
        Self {
            status: EXIT_FAILED,
            message: error.to_string(),
        }
    }
}

impl From<PublishError> for Failure {
    fn from(error: PublishError) -> Self {
        let status = match error {
            PublishError::Unknown(_) => EXIT_UNKNOWN,
            _ => EXIT_FAILED,
        };
        Self {
            status,
            message: error.to_string(),
        }
    }
}

impl From<InvalidFileError> for Failure {
    fn from(error: InvalidFileError) -> Self {
        Self::invalid_input(error)
    }
}

impl From<CheckError> for Failure {
    fn from(error: CheckError) -> Self {
        match error {
            CheckError::Unread { .. } => Self::failed(error),
            CheckError::InvalidFile(_) | CheckError::Denied(_) => Self::invalid_input(error),
        }
    }
}

impl From<KeyError> for Failure {
    fn from(error: KeyError) -> Self {
        match error {
            KeyError::Publish(error) => error.into(),
            other => Self::failed(other),
        }
    }
}

impl From<DaemonError> for Failure {
    fn from(error: DaemonError) -> Self {
        match error {
            DaemonError::Publish(error) => error.into(),
            other => Self::failed(other),
        }
    }
}

impl From<ZoneError> for Failure {
    fn from(error: ZoneError) -> Self {
        match error {
            ZoneError::Publish(error) => error.into(),
            other => Self::failed(other),
        }
    }
}

async fn open_publisher(common: &CommonOptions) -> Result<Publisher, PublishError> {
    Publisher::open(common.platform, common.author.clone()).await
}

async fn run(command: Command) -> Result<String, Failure> {
    match command {
        Command::Check(options) => Ok(command::check(&options).await?),
        Command::Apply { common, file } => {
            let (_, catalogue) = command::read_catalogue(&file)?;
            let mut publisher = open_publisher(&common).await?;
            match command::apply(&mut publisher, &catalogue).await? {
                Some(offset) => Ok(format!("applied at offset {offset}")),
                None => Ok("nothing to change".to_owned()),
            }
        }
        Command::GiveKey {
            common,
            id,
            owner,
            team,
        } => {
            let mut publisher = open_publisher(&common).await?;
            let given = command::give(&mut publisher, id, owner, team).await?;
            Ok(format!("key={}\noffset={}", given.text, given.offset))
        }
        Command::FenceDaemon { common, daemon } => {
            let mut publisher = open_publisher(&common).await?;
            let offset = command::fence(&mut publisher, daemon).await?;
            Ok(format!("fenced at offset {offset}"))
        }
        Command::ReleaseDaemon { common, daemon } => {
            let mut publisher = open_publisher(&common).await?;
            let offset = command::release(&mut publisher, daemon).await?;
            Ok(format!("released at offset {offset}"))
        }
        Command::Zone(command) => Ok(command.run().await?),
        Command::WithdrawKey { common, id } => {
            let mut publisher = open_publisher(&common).await?;
            let offset = command::withdraw(&mut publisher, id).await?;
            Ok(format!("withdrawn at offset {offset}"))
        }
    }
}

/// Prints the help or version that was asked for, or the error in the arguments, and returns the
/// exit status.
fn print_parse_failure(failure: ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_INVALID_INPUT),
    }
}

fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure),
    };
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    let result = match runtime {
        Ok(mut runtime) => runtime.block_on(run(command)),
        Err(error) => Err(Failure::failed(error)),
    };
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{}", failure.message);
            ExitCode::from(failure.status)
        }
    }
}
