//! The daemon as a process: start, readiness, stop, and what it opens.

use std::fs;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use vanillafold_types::ResultCode;

use crate::site::{CATALOGUE, Raw, Reply, Site, SiteOptions, get, program, wait_until, write};

// Stop.

/// Callers that send one request after the other.
const CALLERS: usize = 8;

/// Sends requests until the daemon announces its end; returns how many were answered.
fn call_until_close(mut raw: Raw, answered: &AtomicU32) {
    loop {
        raw.send(
            "GET /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Ms: 5\r\nAnswer-Bytes: 100\r\n\r\n",
        );
        let answer = raw.answer();
        assert_eq!(answer.header("vf-outcome"), Some("answer"), "{answer:?}");
        assert_eq!(answer.body.len(), 100);
        answered.fetch_add(1, Ordering::Relaxed);
        if answer.header("connection") == Some("close") {
            return;
        }
    }
}

#[test]
fn a_stop_under_load_cuts_off_no_request() {
    let mut site = Site::start_with(SiteOptions {
        daemon: "stop_notice_ms = 3000",
        ..SiteOptions::default()
    });
    let answered = AtomicU32::new(0);
    let mut long = site.connect();
    let mut slow_body = site.connect();
    // Both are under way for longer than the notice.
    long.send("GET /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Ms: 4000\r\n\r\n");
    slow_body.send(
        "POST /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Echo: true\r\n\
         Content-Length: 10\r\n\r\nhello",
    );

    thread::scope(|scope| {
        for _ in 0..CALLERS {
            let raw = site.connect();
            scope.spawn(|| call_until_close(raw, &answered));
        }
        wait_until("a load", || answered.load(Ordering::Relaxed) > 50);
        site.terminate();
        wait_until("not ready any more", || site.admin("/ready").0 == 503);
    });
    let long = long.answer();
    slow_body.send("world");
    let slow_body = slow_body.answer();

    assert_eq!(long.header("vf-outcome"), Some("answer"), "{long:?}");
    assert_eq!(slow_body.text(), "helloworld");
    assert!(site.wait_stopped(), "it ended badly: {}", site.daemon_log());
    let log = site.daemon_log();
    assert!(log.contains("\"stopped\""), "{log}");
}

#[test]
fn an_idle_daemon_stops() {
    let mut site = Site::start();
    let mut idle = site.connect();
    idle.send(get("/queues/open/work"));
    assert_eq!(idle.answer().status, 200);

    site.terminate();

    assert!(idle.is_closed(), "an idle connection stays open");
    assert!(site.wait_stopped(), "it ended badly: {}", site.daemon_log());
}

// Readiness.

#[test]
fn a_daemon_without_the_platform_is_not_ready() {
    let mut site = Site::prepare();
    site.start_daemon("");
    site.wait_admin();
    let mut raw = site.connect();

    raw.send(get("/queues/open/work"));
    let refusal = raw.answer();

    assert_eq!(site.admin("/live"), (200, "live\n".to_owned()));
    assert_eq!(site.admin("/ready"), (503, "not ready\n".to_owned()));
    assert_eq!(refusal.text(), format!("{}\n", ResultCode::NotReady));
    assert_eq!(refusal.status, 503);
    assert_eq!(refusal.header("vf-outcome"), Some("not-run"));

    site.start_platform();
    site.start_target(false);
    site.apply(CATALOGUE);
    site.wait_serving();
    wait_until("the catalogue", || {
        raw.send(get("/queues/open/work"));
        raw.answer().status == 200
    });
}

#[test]
fn a_daemon_serves_on_when_the_platform_is_out() {
    let site = Site::start();

    site.platform_control("faults", "outage=true");
    let mut raw = site.connect();
    raw.send(get("/queues/open/work"));

    assert_eq!(raw.answer().status, 200);
    assert_eq!(site.admin("/ready").0, 200);
}

#[test]
fn a_daemon_whose_address_is_taken_does_not_start() {
    let mut site = Site::prepare();
    site.start_daemon("");
    site.wait_admin();

    let second = Command::new(program("vanillafold"))
        .arg("entry.ini")
        .current_dir(site.place.folder())
        .output()
        .expect("a daemon");

    assert_eq!(second.status.code(), Some(1));
    let expected = format!(
        "can't listen on {} for callers: Address already in use (os error 98)\n",
        site.place.callers()
    );
    assert_eq!(String::from_utf8_lossy(&second.stderr), expected);
}

// What a process opens.

/// What the open files of a process are.
fn open_files(id: u32) -> Vec<String> {
    let files = fs::read_dir(format!("/proc/{id}/fd")).expect("the process's files");
    files
        .filter_map(|file| fs::read_link(file.ok()?.path()).ok())
        .map(|link| link.display().to_string())
        .collect()
}

fn assert_plain(id: u32) {
    let files = open_files(id);
    assert!(!files.is_empty());
    assert!(
        !files.iter().any(|file| file.contains("io_uring")),
        "{files:?}"
    );
    let threads = fs::read_dir(format!("/proc/{id}/task")).expect("the process's threads");
    assert_eq!(threads.count(), 1, "threads");
    let children = fs::read_to_string(format!("/proc/{id}/task/{id}/children"));
    assert_eq!(children.unwrap_or_default(), "", "child processes");
    let maps = fs::read_to_string(format!("/proc/{id}/maps")).expect("the process's memory");
    let shared = maps.lines().find(|line| {
        line.split(' ')
            .nth(1)
            .is_some_and(|mode| mode.ends_with('s'))
    });
    assert_eq!(shared, None, "shared memory");
}

#[test]
fn the_daemon_has_one_thread_and_no_io_uring() {
    let site = Site::start();
    let mut raw = site.connect();
    raw.send("GET /queues/open/work HTTP/1.1\r\nHost: x\r\nAnswer-Bytes: 100000\r\n\r\n");
    let mut open = site.connect();
    open.send("GET /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Ms: 500\r\n\r\n");

    assert_eq!(raw.answer().body.len(), 100_000);
    assert_plain(site.daemon_id());
    assert!(matches!(open.reply(), Reply::Whole(_)));
    assert_plain(site.daemon_id());
}

#[test]
fn the_operators_tool_has_one_thread_and_no_io_uring() {
    let mut site = Site::prepare();
    site.start_platform();
    // The tool waits for an answer while it is looked at.
    site.platform_control("faults", "hang=true");
    write(site.place.folder(), "catalogue.ini", CATALOGUE);
    let platform = site.place.platform();

    let mut tool = Command::new(program("vanillafoldctl"))
        .args([
            "apply",
            "--author",
            "ops",
            "--platform",
            &platform.to_string(),
        ])
        .arg("catalogue.ini")
        .current_dir(site.place.folder())
        .stderr(Stdio::null())
        .spawn()
        .expect("the operators' tool");
    wait_until("the tool's connection", || {
        let files = open_files(tool.id());
        files.iter().any(|file| file.starts_with("socket:"))
    });

    assert_plain(tool.id());
    tool.kill().expect("a kill");
    tool.wait().expect("an end");
}
