//! Helpers for tests that start a rig: the path of the built programs, and a reservation of the
//! rig's loopback addresses.

use std::env;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long to wait for another run of the same tests to release the rig's addresses.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(180);
/// The pause between two attempts to reserve the addresses.
const RESERVATION_RETRY: Duration = Duration::from_millis(50);

/// Returns the directory of the programs that were built along with the running test.
///
/// # Panics
///
/// Panics if the daemon has not been built; `cargo build --workspace --all-targets` builds it.
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

/// Reserves the loopback addresses of the rig numbered `rig` for this process. The reservation is a
/// listening socket at a port that no program of the rig uses; if another process on this computer
/// holds it, this waits up to 180 s until that process ends.
///
/// # Panics
///
/// Panics if the other process does not end in time.
pub fn reserve_rig_addresses(rig: u8) {
    let address = SocketAddr::from(([127, rig, 251, 1], 7_999));
    let started_at = Instant::now();
    loop {
        match TcpListener::bind(address) {
            // The socket stays open until this process ends.
            Ok(listener) => return std::mem::forget(listener),
            Err(error) if started_at.elapsed() > RESERVATION_TIMEOUT => {
                panic!(
                    "addresses of rig {rig} are still in use after {RESERVATION_TIMEOUT:?}: {error}"
                )
            }
            Err(_) => sleep(RESERVATION_RETRY),
        }
    }
}
