//! A fleet daemon as a process.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use vanillafold_wire::http::Client;

use crate::rig::{Child, RigError, Signal};

/// Ports of each daemon, on an address of its own.
const CALLER_PORT: u16 = 8_340;
const READINESS_PORT: u16 = 8_343;
const PEER_PORT: u16 = 7_000;
/// How long a probe of a daemon may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Text in the output of a process that has panicked.
const PANIC_TEXT: &str = "panicked at";

/// A daemon, which may be running or not.
#[derive(Debug)]
pub struct Daemon {
    name: String,
    ip: IpAddr,
    program: PathBuf,
    settings: PathBuf,
    logs: PathBuf,
    process: RefCell<Option<Child>>,
    /// Whether a signal that ends the process has been sent.
    ending: Cell<bool>,
}

impl Daemon {
    /// Writes the settings of a daemon; [`Daemon::start`] starts it.
    pub(super) fn new(
        name: &str,
        zone: &str,
        ip: IpAddr,
        (store, vms): (SocketAddr, SocketAddr),
        program: &Path,
        directory: &Path,
    ) -> io::Result<Self> {
        let settings = directory.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(name, zone, ip, store, vms))?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            program: program.to_owned(),
            settings,
            logs: directory.to_owned(),
            process: RefCell::default(),
            ending: Cell::default(),
        })
    }

    /// The daemon's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where the daemon takes callers' requests.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Where the daemon takes requests of other daemons.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Starts the process, with a new log.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the program can't be started.
    pub fn start(&self) -> Result<(), RigError> {
        let arguments = [self.settings.display().to_string()];
        let child = Child::start_logged(&self.name, &self.program, &arguments, &self.logs)?;
        self.ending.set(false);
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    /// Ends the process at once (SIGKILL) and waits for its end.
    pub fn kill(&self) {
        self.ending.set(true);
        self.process.borrow_mut().take();
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        if signal == Signal::Terminate {
            self.ending.set(true);
        }
        match self.process.borrow().as_ref() {
            Some(child) => child.signal(signal),
            None => Ok(()),
        }
    }

    /// Sets how many files and sockets the process may have open, if it runs.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the limit can't be set.
    pub fn limit_files(&self, limit: u64) -> Result<(), RigError> {
        match self.process.borrow().as_ref() {
            Some(child) => child.limit_files(limit),
            None => Ok(()),
        }
    }

    /// Returns whether the process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process.as_mut().is_some_and(Child::is_running)
    }

    /// Returns whether the process has ended though nothing has told it to.
    #[must_use]
    pub fn has_ended_by_itself(&self) -> bool {
        let was_started = self.process.borrow().is_some();
        was_started && !self.ending.get() && !self.is_running()
    }

    /// Returns whether the log tells of a panic.
    #[must_use]
    pub fn has_panicked(&self) -> bool {
        let log = fs::read(self.logs.join(format!("{}.log", self.name))).unwrap_or_default();
        String::from_utf8_lossy(&log).contains(PANIC_TEXT)
    }

    /// Returns whether the daemon answers that it is ready for callers.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        get(address, "/readyz").await == Some(StatusCode::OK)
    }

    /// Returns whether the daemon has a configuration: it can then tell that a queue does not exist.
    pub async fn is_configured(&self) -> bool {
        get(self.caller_address(), "/no-such-queue/").await == Some(StatusCode::NOT_FOUND)
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<StatusCode> {
    let mut client = Client::new(address, PROBE_TIMEOUT);
    let headers = HeaderMap::new();
    let asked = client.request(Method::GET, path, &headers, Bytes::new());
    asked.await.ok().map(|answer| answer.status())
}

/// Returns the settings file that the platform writes for a daemon.
fn settings_text(name: &str, zone: &str, ip: IpAddr, store: SocketAddr, vms: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
ip = "{ip}"
zone = "{zone}"
port_range = [{PEER_PORT}, {PEER_PORT}]
[listen]
front = "{ip}:{CALLER_PORT}"
ready = "{ip}:{READINESS_PORT}"
[limits]
cpu_share = 0.25
cores = 1
[bounds]
max_hold_ms = 10000
status_s = 120
move_s = 1.5
maintenance_s = 2
lease_ms = 3000
[platform]
address = "{store}"
min_ttl_ms = 1000
[cloud]
address = "{vms}"
duty_per_s = 64.0
"#
    )
}
