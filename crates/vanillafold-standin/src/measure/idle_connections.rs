//! Measures the daemon's memory with many idle caller connections.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use serde::Serialize;

use super::{BENCH_QUEUE, BenchRig, ProcessUsage};
use crate::rig::RigError;

/// How long the connections are idle before the daemon's memory is read.
const REST_TIME: Duration = Duration::from_secs(2);
/// The time limit of each read of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The daemon's memory and idle CPU time with many caller connections, each of which has carried one
/// request.
#[derive(Debug, Clone, Serialize)]
pub struct IdleConnections {
    /// The number of connections.
    pub connections: usize,
    /// Resident memory before the connections were opened, in bytes.
    pub resident_before_bytes: u64,
    /// Resident memory with all connections open and idle, in bytes.
    pub resident_bytes: u64,
    /// CPU time of the daemon while all connections are idle, as a share of one core.
    pub idle_core_share: f64,
}

/// Opens connections, sends one request over each, and reads the daemon's memory and CPU time while
/// all are idle.
///
/// # Errors
///
/// [`RigError`] if a connection fails, a request is not answered with 200, or the daemon's process
/// can't be read.
pub fn measure_idle_connections(
    rig: &BenchRig,
    connections: usize,
) -> Result<IdleConnections, RigError> {
    let before = ProcessUsage::of(rig.daemon_pid()?)?;
    let request = request(rig.key());
    let open: io::Result<Vec<TcpStream>> = (0..connections)
        .map(|_| connect_and_request(rig.caller_address(), &request))
        .collect();
    let open = open.map_err(|source| RigError::Io {
        operation: format!("opening {connections} connections"),
        source,
    })?;
    let idle_start = ProcessUsage::of(rig.daemon_pid()?)?;
    sleep(REST_TIME);
    let after = ProcessUsage::of(rig.daemon_pid()?)?;
    drop(open);
    let idle_us = after.cpu_us - idle_start.cpu_us;
    Ok(IdleConnections {
        connections,
        resident_before_bytes: before.resident_bytes,
        resident_bytes: after.resident_bytes,
        idle_core_share: idle_us as f64 / REST_TIME.as_micros() as f64,
    })
}

fn request(key: &str) -> String {
    format!(
        "GET /queues/{BENCH_QUEUE}/work HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {key}\r\n\
         work-ms: 0\r\nanswer-bytes: 0\r\n\r\n"
    )
}

/// Opens a connection and sends one request, whose answer has an empty body; returns the connection
/// after an answer with status 200.
fn connect_and_request(address: SocketAddr, request: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let mut piece = [0; 1024];
    while !answer.ends_with(HEAD_END) {
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => answer.extend_from_slice(&piece[..length]),
        }
    }
    match answer.starts_with(b"HTTP/1.1 200") {
        true => Ok(stream),
        false => Err(io::Error::other(
            String::from_utf8_lossy(&answer).into_owned(),
        )),
    }
}
