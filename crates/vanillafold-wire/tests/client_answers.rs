//! What a client makes of answers that no server should send.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use quickcheck::{Arbitrary, Gen};
use vanillafold_wire::http::{Client, ClientError};

const SEED: u64 = 0x616e_7377_6572;
/// Mutated answers that are read.
const ANSWERS: usize = 600;

const VALID: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nContent-Type: text/plain\r\n\r\nhello world",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nlater",
];

/// Pieces that a mutated answer may contain.
const PIECES: [&str; 14] = [
    "18446744073709551616",
    "18446744073709551615",
    "9223372036854775807",
    "-1",
    "ffffffffffffffff\r\n",
    "fffffffffffffffff\r\n",
    "\r\n\r\n",
    "\r\n",
    "\0",
    "Content-Length: 3\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/9.9 999 \r\n",
    "\u{fffd}",
];

fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

fn below(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound.max(1)
}

fn mutated(g: &mut Gen) -> Vec<u8> {
    let mut bytes = VALID[below(g, VALID.len())].as_bytes().to_vec();
    for _ in 0..=below(g, 3) {
        let at = below(g, bytes.len());
        match below(g, 5) {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes[at] = u8::arbitrary(g),
            2 => {
                let piece = PIECES[below(g, PIECES.len())].bytes();
                bytes.splice(at..at, piece);
            }
            3 => {
                let digits = PIECES[below(g, 4)].bytes();
                let found = bytes.iter().position(u8::is_ascii_digit);
                let at = found.filter(|_| bool::arbitrary(g)).unwrap_or(at);
                let end = (at + 2).min(bytes.len());
                bytes.splice(at..end, digits);
            }
            _ => {
                let end = (at + below(g, 6)).min(bytes.len());
                bytes.drain(at..end);
            }
        }
    }
    bytes
}

/// Answers each connection with the bytes whose number is set, and closes it.
fn serve(answers: Vec<Vec<u8>>, number: Rc<Cell<usize>>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(Vec::with_capacity(4_096)).await;
            let _ = stream.write_all(answers[number.get()].clone()).await;
        }
    });
    address
}

#[test]
fn any_answer_is_a_response_or_an_error() {
    run(async {
        let mut g = Gen::from_size_and_seed(64, SEED);
        let answers: Vec<Vec<u8>> = (0..ANSWERS).map(|_| mutated(&mut g)).collect();
        let number = Rc::new(Cell::new(0));
        let address = serve(answers.clone(), Rc::clone(&number));
        for (at, sent) in answers.iter().enumerate() {
            number.set(at);
            let mut client = Client::new(address, Duration::from_secs(30));
            let headers = HeaderMap::new();

            let single = client
                .request(Method::GET, "/", &headers, Bytes::new())
                .await;
            let request = Request::new(Bytes::new());
            let mut responses = 0;
            let pipelined = Client::new(address, Duration::from_secs(30))
                .pipeline(vec![request.clone(), request], |_| responses += 1)
                .await;

            if let Ok(response) = &single {
                assert!(response.body().len() <= sent.len());
            }
            let timed_out = |error: &ClientError| matches!(error, ClientError::TimedOut(_));
            assert!(!single.as_ref().is_err_and(timed_out), "{sent:?}");
            assert!(responses <= 2 && (responses == 2 || pipelined.is_err()));
        }
    });
}

/// A request went out on a connection to a server that had restarted since the last one was answered.
#[test]
fn a_client_with_explicit_open_sends_nothing_on_another_connection() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let address = serve(vec![answer.to_vec()], Rc::default());
        let mut client = Client::new(address, Duration::from_secs(30)).with_explicit_open();
        let headers = HeaderMap::new();

        let before = client
            .request(Method::GET, "/", &headers, Bytes::new())
            .await;
        client.open().await.expect("a connection");
        let first = client
            .request(Method::GET, "/", &headers, Bytes::new())
            .await;
        while client.is_open().await {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let pipelined = client
            .pipeline(vec![Request::new(Bytes::new())], |_| {})
            .await;

        assert!(matches!(before, Err(ClientError::Closed(_))), "{before:?}");
        assert!(first.is_ok(), "{first:?}");
        assert!(
            matches!(pipelined, Err(ClientError::Closed(_))),
            "{pipelined:?}"
        );
    });
}
