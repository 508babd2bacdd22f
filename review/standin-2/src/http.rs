//! HTTP/1.1 over blocking sockets: a server with one thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut rows = self.headers.iter();
        let row = rows.find(|row| row.0.eq_ignore_ascii_case(name))?;
        Some(&row.1)
    }

    /// Returns a value of the query, with its escapes decoded.
    pub fn query_text(&self, name: &str) -> Option<String> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|pair| pair.0 == name)?.1.as_bytes();
        let mut out = Vec::new();
        let mut at = 0;
        while at < value.len() {
            let hex = value.get(at + 1..at + 3);
            let code =
                hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
            match (value[at], code) {
                (b'%', Some(code)) => {
                    out.push(code);
                    at += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_text(name)?.parse().ok()
    }
}

/// An answer, and how long the network takes to deliver it beyond the usual.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub delay: Duration,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
            delay: Duration::ZERO,
        }
    }
}

/// What a server does with a request.
pub enum Action {
    Answer(Answer),
    /// The connection stays open, and nothing on it is answered any more.
    Silence,
}

pub trait Service: Send + Sync + 'static {
    fn answer(&self, request: &Request) -> Action;
    /// Waits while the link to the client is cut.
    fn wait_for_link(&self) {}
}

/// Serves on a free port of 127.0.0.1.
pub fn serve(service: Arc<dyn Service>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = Arc::clone(&service);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*service);
            });
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, service: &dyn Service) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (send, receive) = channel();
    let writer = stream.try_clone()?;
    thread::spawn(move || write_answers(writer, &receive));
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.request()? {
        service.wait_for_link();
        // A request that was held up is lost if its sender has reset the connection meanwhile.
        if reader.is_closed() {
            return Ok(());
        }
        match service.answer(&request) {
            Action::Answer(answer) => {
                service.wait_for_link();
                let due = Instant::now() + answer.delay;
                let head = format!(
                    "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    answer.status,
                    answer.body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&answer.body);
                if send.send((due, bytes)).is_err() {
                    return Ok(());
                }
            }
            Action::Silence => {
                while reader.fill()? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

fn write_answers(mut stream: TcpStream, answers: &Receiver<(Instant, Vec<u8>)>) {
    while let Ok((due, bytes)) = answers.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// The first line of a message, and its headers.
type Head = (String, Vec<(String, String)>);

struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65_536];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let closed = match self.stream.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }

    fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some((first, headers)))
    }

    fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let length = headers
            .iter()
            .find(|row| row.0.eq_ignore_ascii_case("content-length"))
            .and_then(|row| row.1.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else {
            return Ok(None);
        };
        let body = self.body(&headers)?;
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Ok(Some(Request {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        }))
    }
}

/// Sends one request on a connection of its own. Returns status and body, or `None` without an
/// answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let exchange = || -> io::Result<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_nodelay(true)?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = Reader::new(stream);
        let (first, headers) = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = reader.body(&headers)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        Ok((status.unwrap_or(0), body))
    };
    exchange().ok()
}
