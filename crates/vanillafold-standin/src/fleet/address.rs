//! Loopback addresses of a world's processes.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses for daemons, which the worlds of one process take in turn.
const DAEMON_HOSTS: u32 = 250;
/// Last number of the address of all relays.
const RELAY_HOST: u32 = 253;

/// Takes an address for a daemon.
pub(super) fn take_daemon_host() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    host(1 + NEXT.fetch_add(1, Ordering::Relaxed) % DAEMON_HOSTS)
}

/// Returns the address of the relays.
pub(super) fn relay_host() -> IpAddr {
    host(RELAY_HOST)
}

/// Returns a loopback address that depends on the process id, so that several processes may run
/// worlds at the same time.
fn host(number: u32) -> IpAddr {
    let process = std::process::id();
    let octet = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(16 + process / 251 % 200),
        octet(1 + process % 251),
        octet(number),
    ))
}
