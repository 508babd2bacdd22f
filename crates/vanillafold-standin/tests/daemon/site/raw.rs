//! A caller that sends bytes as they are and reads answers by a reader of its own.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Long enough that only a fault of the code reaches it.
const PATIENCE: Duration = Duration::from_secs(30);

/// A connection.
#[derive(Debug)]
pub(crate) struct Raw {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// An answer as it came.
#[derive(Debug, Default, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// What a connection gave.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Whole(Answer),
    /// An answer that ended before its last byte.
    Cut(Answer),
    /// Nothing, and the connection is closed.
    Closed,
}

/// The head of a request without a body.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: callers\r\n\r\n")
}

/// A connection with the tests' patience.
pub(crate) fn patient(stream: TcpStream) -> TcpStream {
    stream.set_nodelay(true).expect("a socket");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a read timeout");
    stream
        .set_write_timeout(Some(PATIENCE))
        .expect("a write timeout");
    stream
}

impl Raw {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        Self {
            stream: patient(stream),
            buffer: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).expect("a send");
    }

    /// Sends, unless the other end has closed already.
    pub(crate) fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// Ends the sending direction.
    pub(crate) fn end_sending(&self) {
        // It may be closed from the other end already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether bytes or the end have come.
    pub(crate) fn has_reply(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// The next reply.
    pub(crate) fn reply(&mut self) -> Reply {
        self.reply_to("GET")
    }

    /// The next answer, which must be whole.
    pub(crate) fn answer(&mut self) -> Answer {
        match self.reply() {
            Reply::Whole(answer) => answer,
            other => panic!("expected a whole answer, found {other:?}"),
        }
    }

    /// The next reply, to a request of this method.
    pub(crate) fn reply_to(&mut self, method: &str) -> Reply {
        let Some(head) = self.until(b"\r\n\r\n") else {
            return Reply::Closed;
        };
        let mut answer = parse_head(&head);
        let whole = match answer.status {
            _ if method == "HEAD" => true,
            100..200 | 204 | 304 => true,
            _ => self.body(&mut answer),
        };
        match whole {
            true => Reply::Whole(answer),
            false => Reply::Cut(answer),
        }
    }

    /// Whether the other end has closed, with nothing left to read.
    pub(crate) fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && self.fill() == 0
    }

    fn body(&mut self, answer: &mut Answer) -> bool {
        match (
            answer.header("content-length"),
            answer.header("transfer-encoding"),
        ) {
            (Some(length), None) => {
                let length = length.parse().expect("a length");
                answer.body = self.take(length);
                answer.body.len() == length
            }
            (None, Some("chunked")) => self.chunks(&mut answer.body),
            framing => panic!("expected one framing header, found {framing:?}"),
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.until(b"\r\n") else {
                return false;
            };
            let digits = std::str::from_utf8(&line[..line.len() - 2]).expect("a chunk's size");
            let size = usize::from_str_radix(digits, 16).expect("a chunk's size");
            let chunk = self.take(size);
            let ended = chunk.len() == size && self.take(2) == b"\r\n";
            body.extend_from_slice(&chunk);
            match size {
                _ if !ended => return false,
                0 => return true,
                _ => {}
            }
        }
    }

    fn until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self
                .buffer
                .windows(end.len())
                .position(|bytes| bytes == end);
            if let Some(at) = found {
                return Some(self.buffer.drain(..at + end.len()).collect());
            }
            if self.fill() == 0 {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        while self.buffer.len() < length && self.fill() > 0 {}
        let length = length.min(self.buffer.len());
        self.buffer.drain(..length).collect()
    }

    /// Reads once; a reset is as good an end as any.
    fn fill(&mut self) -> usize {
        let mut bytes = [0; 16 * 1024];
        let length = match self.stream.read(&mut bytes) {
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => 0,
            Err(error) => panic!("waited in vain for an answer: {error}"),
        };
        self.buffer.extend_from_slice(&bytes[..length]);
        length
    }
}

impl Answer {
    /// The value of a header that stands at most once.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|(known, _)| known == name);
        let value = values.next().map(|(_, value)| value.as_str());
        assert!(values.next().is_none(), "{name} is given twice: {self:?}");
        value
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).expect("text")
    }
}

fn parse_head(head: &[u8]) -> Answer {
    let head = std::str::from_utf8(head).expect("a head of text");
    let mut lines = head.trim_end().split("\r\n");
    let status = lines.next().expect("a status line");
    let status = status.strip_prefix("HTTP/1.1 ").expect("HTTP/1.1");
    Answer {
        status: status[..3].parse().expect("a status"),
        headers: lines
            .map(|line| line.split_once(": ").expect("a header"))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect(),
        body: Vec::new(),
    }
}
