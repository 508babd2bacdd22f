//! HTTP/1.1 with keep-alive: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|row| row.0 == name);
        found.map_or("", |row| &row.1)
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|row| row.0 == name);
        found.map_or("", |row| &row.1)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name).parse().ok()
    }

    pub fn json(&self) -> super::json::Json {
        let text = String::from_utf8_lossy(&self.body);
        super::json::Json::parse(&text).unwrap_or(super::json::Json::Null)
    }
}

/// What the server does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

pub fn reply(status: u16, body: &super::json::Json) -> Reply {
    Reply::Answer(status, body.to_string().into_bytes())
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves connections for as long as the process lives, and returns the address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(&stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: &TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                let mut out = stream;
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Close => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        match line.is_empty() {
            true if lines.is_empty() => {}
            true => return Some(lines),
            false => lines.push(line),
        }
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|row| row.0 == "content-length");
    let length: usize = length.map_or(Some(0), |row| row.1.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let lines = read_head(reader)?;
    let mut words = lines[0].split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|row| row.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let headers = headers(&lines[1..]);
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// Sends one request over a new connection and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    extra: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let text = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect_timeout(&address, limit).map_err(text)?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in extra {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).map_err(text)?;
    let mut reader = BufReader::new(&stream);
    let lines = read_head(&mut reader).ok_or("no answer")?;
    let status = lines[0]
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok());
    let body = read_body(&mut reader, &headers(&lines[1..])).ok_or("no body")?;
    Ok((status.ok_or("no status")?, body))
}
