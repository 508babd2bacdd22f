//! The runtime and the listening sockets of a stand-in.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Runs a future to its end on a new single-threaded runtime and returns its output.
///
/// # Errors
///
/// An error if the runtime can't be built, or the error of the future.
pub fn run<T>(main: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?
        .block_on(main)
}

/// Opens a listening socket at `address`; port 0 selects a free port.
///
/// # Errors
///
/// An error if the address is in use or does not belong to this computer.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // With reuse_port, two processes could listen on one port, and each would get some of its
    // connections without an error.
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections forever and passes each to `accepted`.
pub async fn accept_each(listener: &TcpListener, mut accepted: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accepted(stream),
            // Accepting fails if file descriptors run out or the connection was closed meanwhile; a
            // later attempt may succeed.
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Prints the line to standard output that says that the stand-in accepts connections at `address`.
pub fn print_ready(address: SocketAddr) {
    println!("ready address={address}");
}

/// Prints the line to standard output that says that the stand-in accepts connections at `address`
/// and control requests at `control`.
pub fn print_ready_with_control(address: SocketAddr, control: SocketAddr) {
    println!("ready address={address} control={control}");
}
