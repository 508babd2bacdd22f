//! A child process of the rig, which is killed when its handle is dropped.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::Path;
use std::process::{ChildStdout, Command, ExitStatus, Stdio};

use super::RigError;

/// The prefix of the line that a stand-in prints to stdout once it accepts connections.
const READY_PREFIX: &str = "ready ";

/// A signal that the rig sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: requests a graceful stop.
    Terminate,
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A child process of the rig; dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    stdout: Option<BufReader<ChildStdout>>,
}

impl Child {
    /// Starts `program`. Its standard error is appended to `{name}.log` in the directory `logs`.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the log can't be opened or the program can't be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<Self, RigError> {
        let log = open_log(name, logs)?;
        Self::spawn(name, program, arguments, Stdio::piped(), log)
    }

    /// Starts `program`. Its standard output and standard error are appended to `{name}.log` in the
    /// directory `logs`.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the log can't be opened or the program can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<Self, RigError> {
        let output = open_log(name, logs)?.into();
        Self::spawn(name, program, arguments, output, open_log(name, logs)?)
    }

    fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        output: Stdio,
        errors: File,
    ) -> Result<Self, RigError> {
        let mut process = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(RigError::io(format!("starting {}", program.display())))?;
        let stdout = process.stdout.take().map(BufReader::new);
        Ok(Self {
            name: name.to_owned(),
            process,
            stdout,
        })
    }

    /// The name that was given to [`Child::start`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Waits for the `ready` line on the standard output of a stand-in and returns its
    /// `name=value` pairs.
    ///
    /// # Errors
    ///
    /// [`RigError::NotReady`] if the output ends or can't be read before that line.
    pub fn wait_ready(&mut self) -> Result<Vec<(String, String)>, RigError> {
        let name = self.name.clone();
        let not_ready = |reason: String| RigError::NotReady {
            process: name.clone(),
            reason,
        };
        let Some(stdout) = self.stdout.as_mut() else {
            return Err(not_ready(
                "standard output was already read to its end".to_owned(),
            ));
        };
        loop {
            let mut line = String::new();
            match stdout.read_line(&mut line) {
                Ok(0) => {
                    return Err(not_ready(
                        "standard output ended before the ready line".to_owned(),
                    ));
                }
                Ok(_) => {}
                Err(error) => return Err(not_ready(error.to_string())),
            }
            if let Some(pairs) = line.strip_prefix(READY_PREFIX) {
                return Ok(pairs
                    .split_whitespace()
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect());
            }
        }
    }

    /// Reads the rest of the standard output, waits until the process ends and returns both the
    /// output and the exit status.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the output can't be read or the process can't be waited for.
    pub fn wait_with_output(mut self) -> Result<(String, ExitStatus), RigError> {
        let mut text = String::new();
        if let Some(mut stdout) = self.stdout.take() {
            std::io::Read::read_to_string(&mut stdout, &mut text)
                .map_err(RigError::io(format!("reading from {}", self.name)))?;
        }
        let status = self
            .process
            .wait()
            .map_err(RigError::io(format!("waiting for {}", self.name)))?;
        Ok((text, status))
    }

    /// Returns `true` while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if no shell can be started to run `kill`. A failure of `kill` itself, such
    /// as for a process that has ended, is ignored.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        let command = format!("kill -{} {}", signal.name(), self.process.id());
        Command::new("sh")
            .args(["-c", &command])
            .stderr(Stdio::null())
            .status()
            .map(|_| ())
            .map_err(RigError::io(command))
    }

    /// Sets how many files and sockets the process may have open (the soft limit).
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if `prlimit` can't be started.
    pub fn limit_files(&self, limit: u64) -> Result<(), RigError> {
        let (process, limit) = (self.process.id().to_string(), format!("--nofile={limit}:"));
        Command::new("prlimit")
            .args(["--pid", &process, &limit])
            .status()
            .map(|_| ())
            .map_err(RigError::io("limiting the open files of a process"))
    }

    /// Sends SIGTERM and waits until the process ends.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the signal can't be sent or the process can't be waited for.
    pub fn terminate(self) -> Result<ExitStatus, RigError> {
        self.signal(Signal::Terminate)?;
        self.wait_with_output().map(|(_, status)| status)
    }
}

fn open_log(name: &str, logs: &Path) -> Result<File, RigError> {
    let log = logs.join(format!("{name}.log"));
    File::options()
        .create(true)
        .append(true)
        .open(&log)
        .map_err(RigError::io(format!("opening {}", log.display())))
}

impl Drop for Child {
    fn drop(&mut self) {
        // Killing fails only if the process has already ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
