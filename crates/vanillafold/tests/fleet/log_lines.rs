//! The log lines of a test.

use std::cell::RefCell;
use std::sync::Once;

use log::kv::{Key, Value, VisitSource};

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the log lines of each thread: a test runs on a thread of its own.
struct ThreadLog;

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl log::Log for ThreadLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut fields = Fields(record.args().to_string());
            let _ = record.key_values().visit(&mut fields);
            LINES.with_borrow_mut(|lines| lines.push(fields.0));
        }
    }

    fn flush(&self) {}
}

/// Starts to keep the log lines of this test.
pub(crate) fn watch_log() {
    static SET: Once = Once::new();
    SET.call_once(|| {
        let _ = log::set_logger(&ThreadLog);
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the log lines of this test that contain `text`.
pub(crate) fn log_lines(text: &str) -> Vec<String> {
    LINES.with_borrow(|lines| {
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    })
}
