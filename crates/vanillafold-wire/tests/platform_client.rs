//! The platform's HTTP client against a server with fixed answers, and the formats that it parses.
//!
//! A client that misjudges an answer would append a record twice, or skip records of the log.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use monoio::net::TcpListener;
use quickcheck::{Gen, QuickCheck};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::http::{Service, serve_connection, split};
use vanillafold_wire::platform::{
    AppendError, HttpPlatform, ListVersion, PlatformLog, ReadError, VmEntry, VmList, VmOperations,
    decode_frames, encode_frame,
};

/// Long enough that only a fault of the code exceeds it.
const TIMEOUT_MS: Millis = Millis::new(20_000);

/// An answer of the platform; `None` closes the connection without one.
type Answer = Option<Response<Bytes>>;

#[derive(Debug, Clone)]
struct FixedPlatform {
    answer: Answer,
    connections: Rc<Cell<u32>>,
}

impl Service for FixedPlatform {
    async fn answer(&self, _: Request<Bytes>) -> Answer {
        self.answer.clone()
    }
}

impl FixedPlatform {
    fn new(answer: Answer) -> Self {
        Self {
            answer,
            connections: Rc::default(),
        }
    }

    fn start(&self) -> HttpPlatform {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let platform = self.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let platform = platform.clone();
                platform.connections.set(platform.connections.get() + 1);
                monoio::spawn(async move {
                    let (reader, writer) = split(stream);
                    serve_connection(&platform, reader, writer, 1 << 20).await;
                });
            }
        });
        HttpPlatform::new(address, TIMEOUT_MS)
    }
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test)
}

fn answer(status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Answer {
    let answer = Response::builder().status(status);
    let answer = headers
        .iter()
        .fold(answer, |answer, (name, value)| answer.header(*name, *value));
    Some(answer.body(body.into()).expect("an answer"))
}

fn frames(records: &[(u64, &[u8])]) -> Bytes {
    let mut body = BytesMut::new();
    for (offset, record) in records {
        encode_frame(&mut body, Offset::new(*offset), record);
    }
    body.freeze()
}

async fn append(answer: Answer) -> Result<Offset, AppendError> {
    let platform = FixedPlatform::new(answer).start();
    platform.append("control", Bytes::from_static(b"x")).await
}

async fn read(answer: Answer) -> Result<Vec<u64>, ReadError> {
    let platform = FixedPlatform::new(answer).start();
    let from = Offset::new(5);
    let batch = platform.read("control", from, 10, Millis::ZERO).await?;
    let offsets = batch.records.iter().map(|record| record.offset.get());
    Ok(offsets.collect())
}

async fn list(answer: Answer) -> Result<usize, ReadError> {
    let platform = FixedPlatform::new(answer).start();
    let changes = platform.changes(None, ListVersion(0)).await?;
    Ok(changes.vms.len())
}

// --- Appends -----------------------------------------------------------------------------------

#[test]
fn an_append_counts_as_not_done_only_if_the_platform_refused_it() {
    block_on(async {
        for status in [400, 404, 413, 429, 503] {
            let refused = append(answer(status, &[], "")).await;
            assert!(
                matches!(refused, Err(AppendError::NotAppended { .. })),
                "{status}"
            );
        }
        for status in [302, 500, 502, 504] {
            let unknown = append(answer(status, &[], "")).await;
            assert!(
                matches!(unknown, Err(AppendError::Unknown { .. })),
                "{status}"
            );
        }
    });
}

#[test]
fn the_result_of_an_append_without_a_valid_answer_is_unknown() {
    block_on(async {
        let lost = append(None).await;
        let no_offset = append(answer(200, &[], "")).await;
        let bad_offset = append(answer(200, &[("log-offset", "soon")], "")).await;

        for result in [lost, no_offset, bad_offset] {
            assert!(
                matches!(result, Err(AppendError::Unknown { .. })),
                "{result:?}"
            );
        }
    });
}

// --- Reads -------------------------------------------------------------------------------------

const NEXT: [(&str, &str); 2] = [("log-oldest", "1"), ("log-next", "9")];

#[test]
fn records_with_consecutive_offsets_are_read() {
    block_on(async {
        let records = read(answer(200, &NEXT, frames(&[(5, b"a"), (6, b"b")]))).await;
        let none = read(answer(200, &NEXT, "")).await;

        assert_eq!(records.ok(), Some(vec![5, 6]));
        assert_eq!(none.ok(), Some(vec![]));
    });
}

#[test]
fn a_batch_with_a_gap_or_without_its_headers_is_malformed() {
    block_on(async {
        let gap = read(answer(200, &NEXT, frames(&[(5, b"a"), (7, b"c")]))).await;
        let late_start = read(answer(200, &NEXT, frames(&[(6, b"b")]))).await;
        let truncated = read(answer(200, &NEXT, frames(&[(5, b"abc")]).slice(..14))).await;
        let no_headers = read(answer(200, &[], frames(&[(5, b"a")]))).await;
        let dropped_without_headers = read(answer(410, &[], "")).await;

        for result in [
            gap,
            late_start,
            truncated,
            no_headers,
            dropped_without_headers,
        ] {
            assert!(
                matches!(result, Err(ReadError::Malformed { .. })),
                "{result:?}"
            );
        }
    });
}

#[test]
fn a_dropped_offset_reports_the_oldest_retained_offset() {
    block_on(async {
        let dropped = read(answer(410, &[("log-oldest", "8")], "")).await;

        assert!(
            matches!(dropped, Err(ReadError::Dropped { oldest }) if oldest == Offset::new(8)),
            "{dropped:?}"
        );
    });
}

// --- VMs ---------------------------------------------------------------------------------------

#[test]
fn a_list_with_an_invalid_line_or_header_is_refused_as_a_whole() {
    const LINE: &str = "vm-1 zone-a rack-1 quotes 127.0.0.1:80 live\n";
    let version = [("vms-version", "3")];
    block_on(async {
        let valid = list(answer(200, &version, LINE)).await;
        let truncated = list(answer(200, &version, format!("{LINE}vm-2 zone-a"))).await;
        let no_headers = list(answer(200, &[], LINE)).await;
        let outage = list(answer(503, &[], "")).await;

        assert_eq!(valid.ok(), Some(1));
        assert!(
            matches!(truncated, Err(ReadError::Malformed { .. })),
            "{truncated:?}"
        );
        assert!(
            matches!(no_headers, Err(ReadError::Malformed { .. })),
            "{no_headers:?}"
        );
        assert!(
            matches!(outage, Err(ReadError::Unavailable { .. })),
            "{outage:?}"
        );
    });
}

#[test]
fn consecutive_requests_share_a_connection() {
    block_on(async {
        let platform = FixedPlatform::new(answer(202, &[], ""));
        let client = platform.start();
        let vm = "vm-1".parse().expect("a VM");

        for _ in 0..5 {
            client.drain(&vm).await.expect("accepted");
            client.clone().reboot(&vm).await.expect("accepted");
        }

        assert_eq!(platform.connections.get(), 1);
    });
}

// --- Formats -------------------------------------------------------------------------------------

#[test]
fn frames_decode_to_the_encoded_records() {
    // quickcheck passes its arguments by value.
    #[allow(clippy::needless_pass_by_value)]
    fn holds(first: u32, records: Vec<Vec<u8>>) -> bool {
        let offsets = u64::from(first)..;
        let sent: Vec<(u64, &[u8])> = offsets.zip(records.iter().map(Vec::as_slice)).collect();
        let read = decode_frames(frames(&sent)).expect("complete frames");
        let read: Vec<(u64, &[u8])> = read
            .iter()
            .map(|record| (record.offset.get(), &record.data[..]))
            .collect();
        read == sent
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .tests(200)
        .quickcheck(holds as fn(u32, Vec<Vec<u8>>) -> bool);
}

/// Truncates a single frame at every kind of place. A truncation between two frames is not tested,
/// because it can't be told from a body with fewer records.
#[test]
fn a_truncated_frame_is_never_decoded() {
    // quickcheck passes its arguments by value.
    #[allow(clippy::needless_pass_by_value)]
    fn holds(record: Vec<u8>, cut: usize) -> bool {
        let encoded = frames(&[(1, &record)]);
        let length = cut % encoded.len();
        decode_frames(encoded.slice(..length)).is_ok() == (length == 0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 2))
        .tests(200)
        .quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_displayed_vm_entry_is_the_line_it_was_parsed_from() {
    for state in ["live", "leaving", "gone"] {
        let line = format!("vm-1 zone-a rack-1 quotes 10.0.0.1:8080 {state}");

        let vm: VmEntry = line.parse().expect("a VM");

        assert_eq!(vm.to_string(), line);
    }
}

#[test]
fn invalid_vm_lines_are_refused() {
    for line in [
        "",
        "vm-1",
        "vm-1 zone-a rack-1 quotes 10.0.0.1:8080",
        "vm-1 zone-a rack-1 quotes 10.0.0.1:8080 live more",
        "vm-1 zone-a rack-1 quotes 10.0.0.1 live",
        "vm-1 zone-a rack-1 quotes 10.0.0.1:8080 idle",
        "vm/1 zone-a rack-1 quotes 10.0.0.1:8080 live",
    ] {
        assert!(line.parse::<VmEntry>().is_err(), "{line}");
    }
}
