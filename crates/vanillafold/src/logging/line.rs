//! Formats a log record as a line of JSON.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Writes a record as a JSON object without a line end: time, level, module, event, then the
/// record's own fields.
pub(crate) fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record,
) -> io::Result<()> {
    let module = record.module_path().unwrap_or("");
    let module = module.rsplit("::").next().unwrap_or("");
    let mut line = String::with_capacity(256);
    line.push_str("{\"time_ms\":");
    line.push_str(&now.now().timestamp_millis().to_string());
    line.push_str(",\"level\":");
    push_text(&mut line, record.level().as_str());
    line.push_str(",\"module\":");
    push_text(&mut line, module);
    line.push_str(",\"event\":");
    push_text(&mut line, &record.args().to_string());
    let result = record.key_values().visit(&mut Fields(&mut line));
    if let Err(error) = result {
        push_field(&mut line, "fields_lost", &error.to_string());
    }
    line.push('}');
    out.write_all(line.as_bytes())
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let is_number = value.to_u64().is_some() || value.to_f64().is_some();
        let is_unquoted = is_number || value.to_bool().is_some();
        match is_unquoted {
            true => {
                self.0.push(',');
                push_text(self.0, key.as_str());
                self.0.push(':');
                self.0.push_str(&value.to_string());
            }
            false => push_field(self.0, key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

fn push_field(line: &mut String, key: &str, text: &str) {
    line.push(',');
    push_text(line, key);
    line.push(':');
    push_text(line, text);
}

fn push_text(line: &mut String, text: &str) {
    line.push('"');
    for character in text.chars() {
        match character {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            control if control.is_control() => {
                line.push_str(&format!("\\u{:04x}", u32::from(control)));
            }
            other => line.push(other),
        }
    }
    line.push('"');
}
