//! A target that the test itself plays.

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use super::patient;

/// A request's head as it arrived, and the connection to answer on.
#[derive(Debug)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) stream: TcpStream,
}

/// Hands over each connection's first request; answers probes by itself.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    seen: Receiver<Seen>,
}

impl FakeTarget {
    pub(crate) fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the target's address");
        let (sender, seen) = channel();
        // Both kinds of threads end with the test's process.
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || serve(stream, &sender));
            }
        });
        Self { seen }
    }

    /// The next request.
    pub(crate) fn next(&self) -> Seen {
        let patience = std::time::Duration::from_secs(30);
        self.seen.recv_timeout(patience).expect("a request")
    }
}

impl Seen {
    /// The value of a header, which stands at most once.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut values = self
            .head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        let value = values.next().map(|(_, value)| value);
        assert!(
            values.next().is_none(),
            "{name} is given twice: {}",
            self.head
        );
        value
    }

    pub(crate) fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("a send");
    }

    /// Ends the answer; what was sent still arrives.
    pub(crate) fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).expect("an open end");
    }
}

fn serve(stream: TcpStream, seen: &Sender<Seen>) {
    let mut stream = patient(stream);
    let mut rest = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut rest) {
        if head.starts_with("GET /vf-health ") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        // A test that has ended needs no more requests.
        let _ = seen.send(Seen { head, stream });
        return;
    }
}

fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..at + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut bytes = [0; 4096];
        match std::io::Read::read(stream, &mut bytes) {
            Ok(length) if length > 0 => rest.extend_from_slice(&bytes[..length]),
            _ => return None,
        }
    }
}
