//! A reader of the log that stops reading, such as a blocked log collector, must not block the
//! daemon: the logger buffers a bounded amount and drops and counts the rest.

use std::io::Read;
use std::os::unix::net::UnixStream;

use log::{Level, Log, Record};
use vanillafold::bounded_logger;

/// Far more lines than the socket and the logger's buffer can hold.
const LINES: usize = 20_000;

fn write(logger: &dyn Log, text: &str) {
    logger.log(
        &Record::builder()
            .args(format_args!("{text}"))
            .level(Level::Info)
            .module_path(Some("test"))
            .build(),
    );
}

#[test]
fn a_reader_that_has_stopped_holds_nobody_up_and_is_told_what_it_missed() {
    // Arrange: the reader does not read.
    let (mut reader, writer) = UnixStream::pair().expect("a pair of sockets");
    let logger = bounded_logger(writer).expect("a logger");
    let text = "x".repeat(200);

    // Act
    for _ in 0..LINES {
        write(logger.as_ref(), &text);
    }
    reader.set_nonblocking(true).expect("a non-blocking reader");
    let mut seen = Vec::new();
    let end = reader.read_to_end(&mut seen);

    // Assert: a bounded part of the lines was written, beginning with a whole line.
    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(std::io::ErrorKind::WouldBlock)
    );
    assert!(seen.len() < LINES * text.len() / 2, "{} bytes", seen.len());
    assert!(seen.starts_with(b"{\"time_ms\":"));
}
