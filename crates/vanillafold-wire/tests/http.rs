//! Parsing of heads, framing and bodies from loopback sockets, and writing of messages.
//!
//! Messages that two programs could interpret differently would allow request smuggling, and
//! truncated ones that pass as complete would give callers wrong answers; both must be refused.

use std::future::Future;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Method, StatusCode};
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};
use quickcheck::{Arbitrary, Gen};
use vanillafold_wire::http::{
    BodyError, BodyReader, Framing, FramingError, HeadError, HopByHop, HttpReader, HttpWriter,
    MAX_HEAD_BYTES, MAX_HEADERS, MAX_PIECE_BYTES, encode_request_head, encode_response_head,
    request_framing, response_framing, split,
};

const SEED: u64 = 20_261_204;

// Fixtures.

fn run<F: Future>(test: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(test)
}

fn generator(size: usize) -> Gen {
    Gen::from_size_and_seed(size, SEED)
}

/// Opens a loopback connection and returns both ends.
async fn connection_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connecting = TcpStream::connect_addr(address);
    let (accepted, connected) = monoio::join!(listener.accept(), connecting);
    (
        accepted.expect("a connection").0,
        connected.expect("a connection"),
    )
}

/// Returns a reader of a connection whose peer sends `pieces` one after the other and closes it.
async fn reader_of(pieces: Vec<Vec<u8>>) -> HttpReader {
    let (here, mut there) = connection_pair().await;
    monoio::spawn(async move {
        there.set_nodelay(true).expect("a socket");
        for piece in pieces {
            // This fails if the reader has closed the connection after an error, which is no fault.
            let _ = there.write_all(piece).await;
            monoio::time::sleep(std::time::Duration::ZERO).await;
        }
    });
    split(here).0
}

/// Splits `bytes` into pieces of arbitrary sizes.
fn split_randomly(bytes: &[u8], rng: &mut Gen) -> Vec<Vec<u8>> {
    let mut pieces = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let max_bytes = 1 + usize::arbitrary(rng) % 40;
        let (piece, tail) = rest.split_at(max_bytes.min(rest.len()));
        pieces.push(piece.to_vec());
        rest = tail;
    }
    pieces
}

fn random(rng: &mut Gen, below: usize) -> usize {
    usize::arbitrary(rng) % below
}

fn headers(pairs: &[(HeaderName, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_str(value).expect("a value");
        headers.append(name.clone(), value);
    }
    headers
}

async fn read_body(framing: Framing, reader: &mut HttpReader) -> Result<Vec<u8>, BodyError> {
    let mut body = BodyReader::new(framing);
    let mut bytes = Vec::new();
    while let Some(piece) = body.next(reader).await? {
        assert!(!piece.is_empty() && piece.len() <= MAX_PIECE_BYTES);
        bytes.extend_from_slice(&piece);
    }
    assert!(body.is_done());
    assert_eq!(body.received_bytes(), bytes.len() as u64);
    Ok(bytes)
}

// Framing.

/// The headers of a request, and the expected result of parsing its framing.
type FramingCase<'a> = (&'a [(HeaderName, &'a str)], Result<Framing, FramingError>);

#[test]
fn repeated_conflicting_or_invalid_framing_of_a_request_is_refused() {
    let length = CONTENT_LENGTH;
    let encoding = TRANSFER_ENCODING;
    let cases: [FramingCase; 14] = [
        (&[], Ok(Framing::Empty)),
        (&[(length.clone(), "0")], Ok(Framing::Empty)),
        (&[(length.clone(), "17")], Ok(Framing::Length(17))),
        (&[(length.clone(), "00017")], Ok(Framing::Length(17))),
        (&[(encoding.clone(), "Chunked")], Ok(Framing::Chunked)),
        (&[(length.clone(), "+5")], Err(FramingError::BadLength)),
        (&[(length.clone(), "-1")], Err(FramingError::BadLength)),
        (&[(length.clone(), "5 ")], Err(FramingError::BadLength)),
        (
            &[(length.clone(), "18446744073709551616")],
            Err(FramingError::BadLength),
        ),
        (
            &[(length.clone(), "5"), (length.clone(), "5")],
            Err(FramingError::RepeatedHeader),
        ),
        (
            &[(length.clone(), "5"), (encoding.clone(), "chunked")],
            Err(FramingError::ConflictingHeaders),
        ),
        (
            &[(encoding.clone(), "gzip, chunked")],
            Err(FramingError::BadEncoding),
        ),
        (
            &[(encoding.clone(), "xchunked")],
            Err(FramingError::BadEncoding),
        ),
        (
            &[(encoding.clone(), "chunked"), (encoding, "chunked")],
            Err(FramingError::RepeatedHeader),
        ),
    ];

    for (pairs, expected) in cases {
        assert_eq!(request_framing(&headers(pairs)), expected, "{pairs:?}");
    }
}

#[test]
fn a_response_must_declare_its_framing_unless_it_has_no_body() {
    let none = HeaderMap::new();
    let length = headers(&[(CONTENT_LENGTH, "5")]);
    let ok = StatusCode::OK;

    assert_eq!(
        response_framing(&Method::GET, ok, &none),
        Err(FramingError::CloseDelimited)
    );
    assert_eq!(
        response_framing(&Method::GET, ok, &length),
        Ok(Framing::Length(5))
    );
    assert_eq!(
        response_framing(&Method::HEAD, ok, &length),
        Ok(Framing::Empty)
    );
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        assert_eq!(
            response_framing(&Method::GET, status, &none),
            Ok(Framing::Empty)
        );
    }
}

#[test]
fn headers_that_connection_names_are_hop_by_hop() {
    let connection = http::header::CONNECTION;
    let named = headers(&[
        (connection.clone(), "close, X-Private"),
        (connection, "x-other"),
    ]);
    let hop_by_hop = HopByHop::of(&named);
    let is_hop_by_hop = |name: &'static str| hop_by_hop.contains(&HeaderName::from_static(name));

    assert!(is_hop_by_hop("x-private") && is_hop_by_hop("x-other"));
    assert!(is_hop_by_hop("keep-alive") && is_hop_by_hop("transfer-encoding"));
    assert!(!is_hop_by_hop("x-colour") && !is_hop_by_hop("content-type"));
}

// Heads.

/// Returns a valid head of a request with `headers` headers, each with a distinct name and value.
fn head_text(headers: usize) -> String {
    let lines: String = (0..headers).map(|at| format!("h{at}: v{at}\r\n")).collect();
    format!("POST /queues/quotes/a?b=c HTTP/1.1\r\n{lines}\r\n")
}

#[test]
fn a_head_is_parsed_whatever_pieces_it_arrives_in() {
    let mut rng = generator(100);
    for _ in 0..40 {
        let count = random(&mut rng, MAX_HEADERS + 1);
        let pieces = split_randomly(head_text(count).as_bytes(), &mut rng);
        let head = run(async { reader_of(pieces).await.read_request_head().await });
        let head = head.expect("a head");
        assert_eq!(head.uri, "/queues/quotes/a?b=c");
        assert_eq!(head.headers.len(), count);
        for at in 0..count {
            assert_eq!(head.headers[format!("h{at}")], format!("v{at}"));
        }
    }
}

#[test]
fn a_head_with_too_many_headers_is_refused() {
    let head = run(async {
        let pieces = vec![head_text(MAX_HEADERS + 1).into_bytes()];
        reader_of(pieces).await.read_request_head().await
    });

    assert!(
        matches!(head, Err(HeadError::TooManyHeaders { limit: MAX_HEADERS })),
        "{head:?}"
    );
}

#[test]
fn a_head_is_accepted_up_to_the_maximum_size() {
    const FIXED_BYTES: usize = "GET / HTTP/1.1\r\na: \r\n\r\n".len();
    for (length, allowed) in [
        (MAX_HEAD_BYTES, true),
        (MAX_HEAD_BYTES + 1, false),
        (MAX_HEAD_BYTES + 9_000, false),
    ] {
        let text = format!(
            "GET / HTTP/1.1\r\na: {}\r\n\r\n",
            "x".repeat(length - FIXED_BYTES)
        );
        assert_eq!(text.len(), length);
        let head = run(async {
            reader_of(vec![text.into_bytes()])
                .await
                .read_request_head()
                .await
        });
        match allowed {
            true => drop(head.expect("a head")),
            false => assert!(matches!(
                head,
                Err(HeadError::TooLarge {
                    limit: MAX_HEAD_BYTES
                })
            )),
        }
    }
}

#[test]
fn two_heads_that_arrive_together_are_parsed_separately() {
    let text = "\r\n\r\nGET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    run(async {
        let mut reader = reader_of(vec![text.into()]).await;
        assert_eq!(reader.read_request_head().await.expect("a head").uri, "/a");
        assert_eq!(reader.read_request_head().await.expect("a head").uri, "/b");
        assert!(matches!(
            reader.read_request_head().await,
            Err(HeadError::Closed)
        ));
    });
}

#[test]
fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
                HTTP/1.1 204 No Content\r\n\r\n";
    let head = run(async {
        reader_of(vec![text.into()])
            .await
            .read_response_head()
            .await
    });

    assert_eq!(head.expect("a head").status, StatusCode::NO_CONTENT);
}

/// Valid messages that are mutated.
const VALID_MESSAGES: [&str; 4] = [
    "GET /queues/quotes/a?b=c HTTP/1.1\r\nHost: x\r\nVf-Request-Id: a-1\r\n\r\n",
    "POST http://x/queues/b HTTP/1.1\r\nContent-Length: 5\r\nAuthorization: Bearer k.s\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nVf-Load: 3\r\n\r\nok",
    "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
];

/// Changes, inserts, removes or duplicates bytes at one to four arbitrary places of a message.
fn mutated(message: &str, rng: &mut Gen) -> Vec<u8> {
    const SPECIAL_BYTES: &[u8] = b"\r\n\0: \t\x7f\x80\xff,;=/%[]HTTP1.";
    let mut bytes = message.as_bytes().to_vec();
    for _ in 0..=random(rng, 4) {
        let at = random(rng, bytes.len());
        let byte = match bool::arbitrary(rng) {
            true => SPECIAL_BYTES[random(rng, SPECIAL_BYTES.len())],
            false => u8::arbitrary(rng),
        };
        match random(rng, 4) {
            0 => bytes[at] = byte,
            1 => bytes.insert(at, byte),
            2 => drop(bytes.drain(at..(at + 1 + random(rng, 8)).min(bytes.len() - 1).max(at))),
            _ => {
                let copied = bytes[at..]
                    .iter()
                    .copied()
                    .take(random(rng, 30))
                    .collect::<Vec<_>>();
                bytes.splice(at..at, copied);
            }
        }
    }
    bytes
}

/// Parses mutated messages as requests and as responses: none may panic, and a bare LF in the first
/// line, which another program could read as its end, must be refused.
#[test]
fn mutated_heads_never_panic_or_pass_a_bare_lf() {
    let mut rng = generator(100);
    for round in 0..1_500 {
        let bytes = mutated(VALID_MESSAGES[round % VALID_MESSAGES.len()], &mut rng);
        let has_bare_lf = bytes
            .windows(2)
            .take_while(|two| *two != b"\r\n")
            .any(|two| two[1] == b'\n');
        run(async {
            let request = reader_of(vec![bytes.clone()])
                .await
                .read_request_head()
                .await;
            let response = reader_of(vec![bytes.clone()])
                .await
                .read_response_head()
                .await;
            // A bare LF in the first line must be refused.
            assert!(
                !has_bare_lf || (request.is_err() && response.is_err()),
                "{bytes:?}"
            );
        });
    }
}

#[test]
fn bytes_that_are_invalid_in_a_header_are_refused() {
    for byte in 0..=u8::MAX {
        for (before, after) in [("a", "b: c"), ("a: b", "c"), ("", ": b")] {
            let mut bytes = b"GET / HTTP/1.1\r\n".to_vec();
            bytes.extend_from_slice(before.as_bytes());
            bytes.push(byte);
            bytes.extend_from_slice(after.as_bytes());
            bytes.extend_from_slice(b"\r\n\r\n");
            let head = run(async { reader_of(vec![bytes]).await.read_request_head().await });
            let invalid_anywhere = matches!(byte, b'\0' | b'\n' | b'\r' | 0x7f);
            let invalid_in_name = before != "a: b" && matches!(byte, b' ' | b'(' | 0x80..);
            if invalid_anywhere || invalid_in_name {
                assert!(head.is_err(), "{byte:#x} after {before:?}: {head:?}");
            }
        }
    }
}

// Bodies.

/// Encodes a body in chunks of arbitrary sizes, some with extensions, and with or without trailers.
fn chunked(body: &[u8], rng: &mut Gen) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in split_randomly(body, rng) {
        let size = match bool::arbitrary(rng) {
            true => format!("{:x}\r\n", chunk.len()),
            false => format!("000{:X};name=value\r\n", chunk.len()),
        };
        bytes.extend_from_slice(size.as_bytes());
        bytes.extend_from_slice(&chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    let end: &[u8] = match bool::arbitrary(rng) {
        true => b"0\r\n\r\n",
        false => b"0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
    };
    bytes.extend_from_slice(end);
    bytes
}

#[test]
fn a_chunked_body_is_read_whatever_pieces_it_arrives_in() {
    let mut rng = generator(600);
    for _ in 0..60 {
        let body = Vec::<u8>::arbitrary(&mut rng);
        let mut bytes = chunked(&body, &mut rng);
        bytes.extend_from_slice(b"GET /next HTTP/1.1\r\n\r\n");
        let pieces = split_randomly(&bytes, &mut rng);
        run(async {
            let mut reader = reader_of(pieces).await;
            let read = read_body(Framing::Chunked, &mut reader)
                .await
                .expect("a body");
            assert_eq!(read, body);
            // The reader must not have taken a byte of the next message.
            assert_eq!(
                reader.read_request_head().await.expect("a head").uri,
                "/next"
            );
        });
    }
}

#[test]
fn a_chunked_body_truncated_anywhere_is_refused() {
    let mut rng = generator(30);
    let body = b"every byte of it counts".to_vec();
    let encoded = chunked(&body, &mut rng);
    for length in 0..encoded.len() {
        let read = run(async {
            let mut reader = reader_of(vec![encoded[..length].to_vec()]).await;
            read_body(Framing::Chunked, &mut reader).await
        });
        assert!(
            matches!(read, Err(BodyError::Truncated)),
            "{length}: {read:?}"
        );
    }
}

#[test]
fn a_body_of_fixed_length_truncated_anywhere_is_refused() {
    for length in 0..20 {
        let read = run(async {
            let mut reader = reader_of(vec![vec![7; length]]).await;
            read_body(Framing::Length(20), &mut reader).await
        });
        assert!(
            matches!(read, Err(BodyError::Truncated)),
            "{length}: {read:?}"
        );
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let long = "x".repeat(1_000);
    for text in [
        "five\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        "-1\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        " 5\r\nhello\r\n0\r\n\r\n",
        "10000000000000000\r\nhello\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nX: 1\n\r\n",
        &format!("5;{long}\r\nhello\r\n0\r\n\r\n"),
        &format!("0\r\n{}\r\n", "X: 1\r\n".repeat(2_000)),
    ] {
        let read = run(async {
            let mut reader = reader_of(vec![text.into()]).await;
            read_body(Framing::Chunked, &mut reader).await
        });
        assert!(
            matches!(read, Err(BodyError::BadChunk)),
            "{text:.40}: {read:?}"
        );
    }
}

// Writing.

#[test]
fn a_written_message_is_parsed_to_the_same_message() {
    let mut rng = generator(40_000);
    for _ in 0..20 {
        let body = Vec::<u8>::arbitrary(&mut rng);
        let framing = match (body.len(), bool::arbitrary(&mut rng)) {
            (_, true) => Framing::Chunked,
            (0, false) => Framing::Empty,
            (length, false) => Framing::Length(length as u64),
        };
        run(async {
            let (here, there) = connection_pair().await;
            let mut writer: HttpWriter = split(there).1;
            let sent = Bytes::from(body.clone());
            let none = HeaderMap::new();
            encode_request_head(writer.buffer(), &Method::PUT, "/a", none.iter(), framing);
            let sending = monoio::spawn(async move {
                writer
                    .write_body_piece_unless_empty(framing, sent)
                    .await
                    .expect("a send");
                writer.write_body_end(framing);
                writer.close().await;
            });
            let mut reader = split(here).0;
            let head = reader.read_request_head().await.expect("a head");
            let framing = request_framing(&head.headers).expect("a framing");
            assert_eq!(read_body(framing, &mut reader).await.expect("a body"), body);
            sending.await;
        });
    }
}

#[test]
fn a_response_declares_its_length_unless_its_status_allows_no_body() {
    let text = |status| {
        let mut buffer = BytesMut::new();
        encode_response_head(&mut buffer, status, HeaderMap::new().iter(), Framing::Empty);
        String::from_utf8(buffer.to_vec()).expect("text")
    };

    assert_eq!(
        text(StatusCode::OK),
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    );
    assert_eq!(
        text(StatusCode::NO_CONTENT),
        "HTTP/1.1 204 No Content\r\n\r\n"
    );
}
