//! Writing and reading of traces, incomplete lines included, and checks of answer bodies.

use std::fs;
use std::path::PathBuf;

use vanillafold_standin::trace::{
    AnswerBody, AnswerChecker, BodyVerdict, Config, ProcessName, TraceErrorKind, TraceEvent,
    TraceLine, TraceReader, TraceWriter, monotonic_us,
};

fn fresh_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("trace-{name}"));
    let _ = fs::remove_dir_all(&dir);
    dir
}

fn config(offset: u64) -> TraceEvent {
    TraceEvent::Config(Config {
        at_us: 7,
        process: ProcessName::from("d1"),
        offset,
    })
}

fn body(request: &str, len: u64) -> Vec<u8> {
    AnswerBody::new(request, len).flatten().collect()
}

fn check(request: &str, len: u64, pieces: &[&[u8]]) -> BodyVerdict {
    let mut checker = AnswerChecker::new(request, len);
    pieces.iter().for_each(|piece| checker.push(piece));
    checker.finish()
}

#[test]
fn events_are_read_back_as_written() {
    let dir = fresh_dir("round");
    let mut writer = TraceWriter::create(&dir, &ProcessName::from("script")).unwrap();

    writer.write(&config(1)).unwrap();
    writer.write(&config(2)).unwrap();
    writer.close().unwrap();

    let text = fs::read_to_string(dir.join("script.jsonl")).unwrap();
    let line = r#"{"kind":"config","at_us":7,"process":"d1","offset":1}"#;
    assert_eq!(text.lines().next(), Some(line));
    let lines: Vec<_> = TraceReader::open(&dir.join("script.jsonl"))
        .unwrap()
        .map(Result::unwrap)
        .collect();
    assert_eq!(lines, [1, 2].map(|offset| TraceLine::Event(config(offset))));
}

/// A process that was killed while writing leaves an incomplete line. Its successor must not append
/// its first event to that line, which would lose the event.
#[test]
fn a_restarted_process_appends_after_a_torn_line() {
    let dir = fresh_dir("torn");
    let path = dir.join("r1.jsonl");
    fs::create_dir_all(&dir).unwrap();
    fs::write(&path, r#"{"kind":"config","at_us":7,"proc"#).unwrap();

    let mut writer = TraceWriter::create(&dir, &ProcessName::from("r1")).unwrap();
    writer.write(&config(3)).unwrap();
    writer.close().unwrap();

    let lines: Vec<_> = TraceReader::open(&path)
        .unwrap()
        .map(Result::unwrap)
        .collect();
    assert_eq!(lines, [TraceLine::Torn, TraceLine::Event(config(3))]);
}

#[test]
fn a_complete_line_that_is_no_event_is_an_error() {
    let dir = fresh_dir("malformed");
    let path = dir.join("r1.jsonl");
    fs::create_dir_all(&dir).unwrap();
    fs::write(&path, "\n{\"kind\":\"nonsense\"}\n").unwrap();

    let error = TraceReader::open(&path).unwrap().next().unwrap();

    let error = error.unwrap_err();
    assert!(
        matches!(error.kind(), TraceErrorKind::Malformed { line: 2, .. }),
        "{error}"
    );
}

#[test]
fn bodies_are_checked_in_pieces_of_any_size() {
    let len = 50_003;
    let right = body("r-1", len);

    for piece_bytes in [1, 7, 8, 4096, 4097, 50_003] {
        let pieces: Vec<&[u8]> = right.chunks(piece_bytes).collect();
        assert_eq!(check("r-1", len, &pieces), BodyVerdict::Whole);
    }
    assert_eq!(check("r-1", 0, &[]), BodyVerdict::Whole);
}

#[test]
fn wrong_and_short_bodies_are_reported_with_the_position() {
    let right = body("r-1", 10_000);
    let mut flipped = right.clone();
    flipped[9_001] ^= 1;
    let mut longer = right.clone();
    longer.push(0);
    let mut shifted = right.clone();
    shifted.drain(8..16);

    let wrong = |position| BodyVerdict::Wrong { position };
    assert_eq!(check("r-1", 10_000, &[&flipped]), wrong(9_001));
    assert_eq!(check("r-1", 10_000, &[&longer]), wrong(10_000));
    assert_eq!(check("r-1", 10_000, &[&right, &[0]]), wrong(10_000));
    assert!(matches!(
        check("r-1", 10_000, &[&shifted]),
        BodyVerdict::Wrong { position: 8..16 }
    ));
    assert!(matches!(
        check("r-2", 10_000, &[&right]),
        BodyVerdict::Wrong { position: 0..8 }
    ));
    assert_eq!(
        check("r-1", 10_000, &[&right[..9_999]]),
        BodyVerdict::Short { bytes: 9_999 }
    );
}

#[test]
fn the_clock_never_goes_back() {
    let first = monotonic_us();

    let second = monotonic_us();

    assert!(first > 0 && second >= first);
}
