//! A process of the rig, killed when it is dropped.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::Path;
use std::process::{ChildStdout, Command, ExitStatus, Stdio};

use super::RigError;

/// What a stand-in prints once it serves.
const READY_PREFIX: &str = "ready ";

/// A signal that the rig sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks to stop.
    Terminate,
    /// Ends at once.
    Kill,
    /// Freezes.
    Stop,
    /// Thaws.
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

/// A process of the rig.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    stdout: Option<BufReader<ChildStdout>>,
}

impl Child {
    /// Starts `program`; its errors go to `{name}.log` in `logs`.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`].
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<Self, RigError> {
        let log = logs.join(format!("{name}.log"));
        let errors = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(RigError::io(format!("opening {}", log.display())))?;
        let mut process = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
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

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Waits for the line that says that it serves; returns its `name=value` pairs.
    ///
    /// # Errors
    ///
    /// [`RigError::NotReady`] if it ends without that line.
    pub fn wait_ready(&mut self) -> Result<Vec<(String, String)>, RigError> {
        let name = self.name.clone();
        let not_ready = |reason: String| RigError::NotReady {
            process: name.clone(),
            reason,
        };
        let Some(stdout) = self.stdout.as_mut() else {
            return Err(not_ready("its output was read already".to_owned()));
        };
        loop {
            let mut line = String::new();
            match stdout.read_line(&mut line) {
                Ok(0) => return Err(not_ready("it ended its output".to_owned())),
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

    /// Reads the rest of its output and waits for its end.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`].
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

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the shell's `kill` can't be run.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        let command = format!("kill -{} {}", signal.name(), self.process.id());
        Command::new("sh")
            .args(["-c", &command])
            .stderr(Stdio::null())
            .status()
            .map(|_| ())
            .map_err(RigError::io(command))
    }

    /// Asks it to stop and waits for its end.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`].
    pub fn terminate(self) -> Result<ExitStatus, RigError> {
        self.signal(Signal::Terminate)?;
        self.wait_with_output().map(|(_, status)| status)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // One that has ended already can't be killed, which is as good.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
