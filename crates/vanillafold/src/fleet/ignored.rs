//! Log lines about input that is ignored.

/// Maximum number of names whose last log line is remembered.
const MAX_NAMES: usize = 256;
/// Maximum length of a name in a log line, in characters.
const MAX_NAME_CHARS: usize = 80;
/// Maximum length of a reason in a log line, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Logs input that is ignored because it can't be read, once for each name and reason: the same
/// input is read again and again.
#[derive(Debug)]
pub struct IgnoredInput {
    /// What the input is, for the log lines.
    kind: &'static str,
    /// Names and reasons of the input that is ignored now, sorted by name.
    reported: Vec<(String, String)>,
    /// Whether there was more ignored input than is remembered.
    is_full: bool,
}

impl IgnoredInput {
    /// Creates a log of ignored input of one kind.
    #[must_use]
    pub const fn new(kind: &'static str) -> Self {
        Self {
            kind,
            reported: Vec::new(),
            is_full: false,
        }
    }

    /// Logs that the input of this name is ignored, unless that was logged with the same reason.
    pub fn report(&mut self, name: &str, reason: &str) {
        let name: String = name.chars().take(MAX_NAME_CHARS).collect();
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        match self.position(&name) {
            Ok(at) if self.reported[at].1 == reason => return,
            Ok(at) => self.reported[at].1.clone_from(&reason),
            Err(_) if self.reported.len() >= MAX_NAMES => {
                if !std::mem::replace(&mut self.is_full, true) {
                    log::warn!(kind = self.kind, logged = MAX_NAMES; "more input is ignored than is logged");
                }
                return;
            }
            Err(at) => self.reported.insert(at, (name.clone(), reason.clone())),
        }
        log::warn!(kind = self.kind, name = name, reason = reason; "input ignored: it can't be read");
    }

    /// Forgets the input of this name, which is readable or gone: it is logged again if it is
    /// ignored again.
    pub fn resolve(&mut self, name: &str) {
        if self.reported.is_empty() {
            return;
        }
        let name: String = name.chars().take(MAX_NAME_CHARS).collect();
        if let Ok(at) = self.position(&name) {
            self.reported.remove(at);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.reported
            .binary_search_by(|row| row.0.as_str().cmp(name))
    }
}
