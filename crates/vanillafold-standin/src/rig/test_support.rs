//! What tests need around a rig: the built programs, and addresses of their own.

use std::env;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long another run of the same tests may keep a rig's addresses.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(180);
/// Between two tries.
const RESERVATION_RETRY: Duration = Duration::from_millis(50);

/// The directory of the programs that were built along with the running test.
///
/// # Panics
///
/// If the daemon was not built: `cargo build --workspace --all-targets` does.
#[must_use]
pub fn built_programs() -> PathBuf {
    let test = env::current_exe().expect("the test's own path");
    let deps = test.parent().expect("a folder of tests");
    let programs = deps.parent().expect("a folder of programs").to_owned();
    assert!(
        programs.join("vanillafold").exists(),
        "build the programs first: cargo build --workspace --all-targets"
    );
    programs
}

/// Keeps the addresses of a rig for this process, after another run on this machine has ended.
///
/// # Panics
///
/// If the other run does not end in time.
pub fn reserve_rig_addresses(rig: u8) {
    let address = SocketAddr::from(([127, rig, 251, 1], 7_999));
    let started_at = Instant::now();
    loop {
        match TcpListener::bind(address) {
            // Until the process ends.
            Ok(listener) => return std::mem::forget(listener),
            Err(error) if started_at.elapsed() > RESERVATION_TIMEOUT => {
                panic!("rig {rig} is in use: {error}")
            }
            Err(_) => sleep(RESERVATION_RETRY),
        }
    }
}
