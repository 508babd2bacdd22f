//! Connections whose end takes back what has not arrived.

use std::io;
use std::os::fd::AsRawFd;

use monoio::net::TcpStream;

/// Makes closing a connection reset it.
///
/// A request that was given up may be held up on the way, and would be carried out once the way
/// is free again; a reset drops it.
///
/// # Errors
///
/// What the system says if the option can't be set.
// `setsockopt` has no safe form for a stream of `monoio` in the libraries that are used.
#[allow(unsafe_code)]
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    let length = u32::try_from(size_of::<libc::linger>()).unwrap_or(0);
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and `linger` is a valid
    // value of the length that is given; the call keeps no pointer to it.
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
