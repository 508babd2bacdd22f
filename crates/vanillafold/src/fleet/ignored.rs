//! Log lines about input that is ignored.

/// Maximum number of names that are remembered.
const MAX_NAMES: usize = 256;
/// Maximum length of a name in a log line, in characters.
const MAX_NAME_CHARS: usize = 80;
/// Maximum length of a reason in a log line, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Logs input that is ignored because it can't be read. The same input is read again and again, so
/// that there is one line for each name until the input of this name is resolved.
#[derive(Debug)]
pub struct IgnoredInput {
    /// What the input is, for the log lines.
    kind: &'static str,
    /// Names of the input that is ignored now, sorted.
    names: Vec<String>,
    /// Whether there was more ignored input than is remembered.
    is_full: bool,
}

impl IgnoredInput {
    /// Creates a log of ignored input of one kind.
    #[must_use]
    pub const fn new(kind: &'static str) -> Self {
        Self {
            kind,
            names: Vec::new(),
            is_full: false,
        }
    }

    /// Logs that the input of this name is ignored, unless that was logged before.
    pub fn report(&mut self, name: &str, reason: &str) {
        let name = truncated(name, MAX_NAME_CHARS);
        match self.names.binary_search(&name) {
            Ok(_) => {}
            Err(_) if self.names.len() >= MAX_NAMES => {
                if !std::mem::replace(&mut self.is_full, true) {
                    log::warn!(kind = self.kind, logged = MAX_NAMES; "more input is ignored than is logged");
                }
            }
            Err(at) => {
                let reason = truncated(reason, MAX_REASON_CHARS);
                log::warn!(kind = self.kind, name = name.as_str(), reason = reason; "input ignored: it can't be read");
                self.names.insert(at, name);
            }
        }
    }

    /// Forgets the input of this name, which is readable or gone: it is logged again if it is
    /// ignored again.
    pub fn resolve(&mut self, name: &str) {
        if self.names.is_empty() {
            return;
        }
        if let Ok(at) = self.names.binary_search(&truncated(name, MAX_NAME_CHARS)) {
            self.names.remove(at);
        }
    }
}

fn truncated(text: &str, max_chars: usize) -> String {
    text.chars().take(max_chars).collect()
}
