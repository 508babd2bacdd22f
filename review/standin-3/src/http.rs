//! A small HTTP/1.1 server and client with blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was read.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|row| row.0 == name);
        found.map(|row| row.1.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|row| row.0.eq_ignore_ascii_case(name));
        found.map(|row| row.1.as_str())
    }
}

/// What a server does with a request.
#[derive(Debug)]
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection is closed without an answer.
    Close,
}

/// Answers requests; each connection has a thread of its own.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: Request) -> Reply;

    /// Returns whether a connection that was accepted is to be served.
    fn accepts(&self) -> bool {
        true
    }

    /// Called with each accepted connection, so that it can be broken later.
    fn opened(&self, _stream: &TcpStream) {}
}

/// Serves a listener for the life of the process.
pub fn serve(listener: TcpListener, handler: Arc<impl Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            if !handler.accepts() {
                continue;
            }
            handler.opened(&stream);
            thread::spawn(move || {
                let _ = serve_connection(stream, handler.as_ref());
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &impl Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler.handle(request) {
            Reply::Answer(status, body) => write_answer(&mut writer, status, &body)?,
            Reply::Close => {
                writer.shutdown(std::net::Shutdown::Both)?;
                break;
            }
        }
    }
    Ok(())
}

fn write_answer(writer: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|row| row.0.eq_ignore_ascii_case(name));
    let chunked = find("transfer-encoding").is_some_and(|row| row.1.contains("chunked"));
    let mut body = Vec::new();
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find("content-length")
        .and_then(|row| row.1.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (name.to_owned(), decode_percent(value))
    };
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .split('&')
            .filter(|part| !part.is_empty())
            .map(pair)
            .collect(),
        headers,
        body,
    }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match byte {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a new connection. Returns status and body; `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let body = read_body(&mut reader, &headers).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
