//! A running site.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use std::thread::sleep;
use std::time::{Duration, Instant};

use vanillafold_standin::rig::{Child, Signal};
use vanillafold_standin::runner::RunnerStats;

use super::{Place, PortHolder, Raw, get, program, standin};

/// Long enough that only a fault of the code reaches it.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);

pub(crate) const CREDENTIAL: &str = "operators-credential-of-tests";

/// One pool, two teams and queues for each kind of refusal.
pub(crate) const CATALOGUE: &str = "\
[pool work]
owner = ops
class = urgent

[team cafes]
owner = ops
limit = 50

[team riders]
owner = ops
limit = 50

[queue open]
owner = ops
class = urgent
pool = work
open = yes
deadline_ms = 20000
max_deadline_ms = 60000

[queue cafes]
owner = ops
class = urgent
pool = work
teams = cafes
deadline_ms = 20000
max_deadline_ms = 60000

[queue small]
owner = ops
class = urgent
pool = work
open = yes
deadline_ms = 20000
max_deadline_ms = 60000
max_body = 1KiB

[queue large]
owner = ops
class = urgent
pool = work
open = yes
deadline_ms = 20000
max_deadline_ms = 60000
max_body = 200KiB
";

/// What a test wants to be different.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SiteOptions {
    /// Further lines of the daemon's section.
    pub(crate) daemon: &'static str,
    /// No runner: the test itself is the target.
    pub(crate) own_target: bool,
}

/// A running site; its processes end when it is dropped.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) daemon: Option<Child>,
    runner: Option<Child>,
    platform: Option<Child>,
    pub(crate) place: Place,
    _holder: PortHolder,
}

impl Site {
    /// Starts platform, runner and daemon, and waits until the daemon knows the target.
    pub(crate) fn start() -> Self {
        Self::start_with(SiteOptions::default())
    }

    pub(crate) fn start_with(options: SiteOptions) -> Self {
        let mut site = Self::prepare();
        site.start_platform();
        site.start_target(options.own_target);
        site.apply(CATALOGUE);
        site.start_daemon(options.daemon);
        site.wait_serving();
        site
    }

    /// A site in which nothing runs.
    pub(crate) fn prepare() -> Self {
        let (place, holder) = Place::new();
        write(place.folder(), "peer-token", "peer-token-of-these-tests");
        write(place.folder(), "credential", CREDENTIAL);
        Self {
            daemon: None,
            runner: None,
            platform: None,
            place,
            _holder: holder,
        }
    }

    // --- Processes -------------------------------------------------------------------------

    pub(crate) fn start_platform(&mut self) {
        let address = format!("--address={}", self.place.platform());
        let mut child = self.child("platform", &standin("platform"), &[address]);
        child.wait_ready().expect("a platform");
        self.platform = Some(child);
    }

    pub(crate) fn start_target(&mut self, own: bool) {
        if !own {
            let arguments = [
                "--vm=w1".to_owned(),
                "--pool=work".to_owned(),
                format!("--address={}", self.place.target()),
                format!("--control={}", self.place.control()),
            ];
            let mut child = self.child("runner", &standin("runner"), &arguments);
            child.wait_ready().expect("a runner");
            self.runner = Some(child);
        }
        let line = format!("w1 zone-a rack-1 work {} live\n", self.place.target());
        self.platform_control("vms", &line);
    }

    pub(crate) fn start_daemon(&mut self, more: &str) {
        let text = self.settings(more);
        write(self.place.folder(), "entry.ini", &text);
        let settings = self.place.folder().join("entry.ini");
        let arguments = [settings.display().to_string()];
        self.daemon = Some(self.child("daemon", &program("vanillafold"), &arguments));
    }

    /// Good settings, with `more` in the daemon's section.
    pub(crate) fn settings(&self, more: &str) -> String {
        let notice = match more.contains("stop_notice_ms") {
            true => "",
            false => "stop_notice_ms = 100\n",
        };
        format!(
            "[daemon]\nname = entry-1\nzone = zone-a\ncluster = tests\ncallers = {}\npeers = {}\n\
             admin = {}\npeer_token_file = peer-token\noperator_credential_file = credential\n\
             {notice}{more}\n[platform]\naddress = {}\nlist_interval_ms = 50\n",
            self.place.callers(),
            self.place.peers(),
            self.place.admin(),
            self.place.platform(),
        )
    }

    fn child(&self, name: &str, program: &Path, arguments: &[String]) -> Child {
        Child::start(name, program, arguments, self.place.folder()).expect("a process")
    }

    /// Waits until the daemon is ready and knows the target.
    pub(crate) fn wait_serving(&mut self) {
        self.wait_admin();
        wait_until("ready", || self.admin("/ready").0 == 200);
        wait_until("the target in the list", || {
            self.admin("/state").1.contains("\nvm w1 ")
        });
    }

    /// Waits until the daemon answers operators.
    pub(crate) fn wait_admin(&mut self) {
        let admin = self.place.admin();
        wait_until("the daemon's start", || {
            assert!(self.is_running(), "the daemon ended: {}", self.daemon_log());
            std::net::TcpStream::connect(admin).is_ok()
        });
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.daemon.as_mut().is_some_and(Child::is_running)
    }

    pub(crate) fn daemon_id(&self) -> u32 {
        self.daemon.as_ref().expect("a daemon").id()
    }

    pub(crate) fn daemon_log(&self) -> String {
        read(self.place.folder(), "daemon.log")
    }

    /// Asks the daemon to stop.
    pub(crate) fn terminate(&self) {
        let daemon = self.daemon.as_ref().expect("a daemon");
        daemon.signal(Signal::Terminate).expect("a signal");
    }

    /// Waits for the daemon's end; says whether it ended well.
    pub(crate) fn wait_stopped(&mut self) -> bool {
        let daemon = self.daemon.take().expect("a daemon");
        daemon.wait_with_output().expect("an end").1.success()
    }

    // --- Calls -----------------------------------------------------------------------------

    /// A connection to the daemon.
    pub(crate) fn connect(&self) -> Raw {
        Raw::connect(self.place.callers())
    }

    /// Asks the daemon's administration; status and body.
    pub(crate) fn admin(&self, path: &str) -> (u16, String) {
        let mut raw = Raw::connect(self.place.admin());
        raw.send(format!(
            "GET {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CREDENTIAL}\r\n\r\n"
        ));
        let answer = raw.answer();
        (answer.status, answer.text())
    }

    /// Sets a control of the platform.
    pub(crate) fn platform_control(&self, name: &str, body: &str) {
        post(&mut Raw::connect(self.place.platform()), name, body);
    }

    /// Sets the runner's mode.
    pub(crate) fn runner_mode(&self, mode: &str) {
        post(&mut Raw::connect(self.place.control()), "mode", mode);
    }

    /// What the runner has seen.
    pub(crate) fn runner_stats(&self) -> RunnerStats {
        let mut raw = Raw::connect(self.place.control());
        raw.send(get("/control/stats"));
        serde_json::from_str(raw.answer().text().trim()).expect("stats")
    }

    // --- Operators -------------------------------------------------------------------------

    /// Runs the operators' tool.
    pub(crate) fn operate(&self, arguments: &[&str]) -> Output {
        Command::new(program("vanillafoldctl"))
            .args(arguments)
            .current_dir(self.place.folder())
            .output()
            .expect("the operators' tool")
    }

    /// Runs the operators' tool against the platform; what it printed.
    pub(crate) fn operate_well(&self, command: &[&str], arguments: &[&str]) -> String {
        let platform = self.place.platform().to_string();
        let common = ["--platform", &platform, "--author", "ops"];
        let output = self.operate(&[command, &common, arguments].concat());
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{command:?}: {errors}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Publishes a catalogue.
    pub(crate) fn apply(&self, catalogue: &str) -> String {
        write(self.place.folder(), "catalogue.ini", catalogue);
        self.operate_well(&["apply"], &["catalogue.ini"])
    }

    /// Gives a key and returns it whole.
    pub(crate) fn give_key(&self, id: &str, team: &str) -> String {
        let arguments = ["--id", id, "--owner", "ops", "--team", team];
        let printed = self.operate_well(&["key", "give"], &arguments);
        let key = printed.lines().find_map(|line| line.strip_prefix("key="));
        key.expect("a key").to_owned()
    }
}

fn post(raw: &mut Raw, name: &str, body: &str) {
    let length = body.len();
    raw.send(format!(
        "POST /control/{name} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"
    ));
    assert_eq!(raw.answer().status, 200, "{name}: {body}");
}

/// Waits until a condition holds; fails if it never does.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "never happened: {what}");
        sleep(POLL);
    }
}

pub(crate) fn write(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join(name), text).expect("a file");
}

fn read(folder: &Path, name: &str) -> String {
    fs::read_to_string(folder.join(name)).expect("a file")
}
