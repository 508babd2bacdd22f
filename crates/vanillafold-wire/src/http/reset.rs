//! Connections that are reset when they are closed, so that data in transit is dropped.

use std::io;
use std::os::fd::AsRawFd;

use monoio::net::TcpStream;

/// Sets `SO_LINGER` to 0, so that closing the connection resets it.
///
/// A request that was abandoned after a timeout may still be in transit, and would be carried out
/// when the network recovers. A reset drops it.
///
/// # Errors
///
/// Returns the error of the system if the option can't be set.
// The libraries in use have no safe `setsockopt` for a stream of `monoio`.
#[allow(unsafe_code)]
pub(crate) fn enable_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    let length = u32::try_from(size_of::<libc::linger>()).unwrap_or(0);
    // SAFETY: the descriptor stays open while `stream` is borrowed, and `linger` is a valid value
    // of the length that is passed; the call keeps no pointer to it.
    let status = unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            (&raw const linger).cast(),
            length,
        )
    };
    match status {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
