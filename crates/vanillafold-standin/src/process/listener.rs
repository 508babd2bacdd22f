//! The runtime and the listeners of a stand-in.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Runs a stand-in to its end on a single-threaded runtime.
///
/// # Errors
///
/// A runtime that can't be built, or the error of the stand-in.
pub fn run<T>(main: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?
        .block_on(main)
}

/// Listens on an address; port 0 takes a free port.
///
/// # Errors
///
/// An address that is in use or not of this machine.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // Two processes on one port would share its connections unseen.
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections for ever.
pub async fn accept_each(listener: &TcpListener, mut accepted: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accepted(stream),
            // Out of file descriptors or a connection that is gone again: the next may be well.
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Tells on stdout that the stand-in serves.
pub fn print_ready(address: SocketAddr) {
    println!("ready address={address}");
}

/// Tells on stdout that the stand-in serves, and where it is controlled.
pub fn print_ready_with_control(address: SocketAddr, control: SocketAddr) {
    println!("ready address={address} control={control}");
}
