//! A parsed INI file whose sections and keys know their lines.

use ini::{Ini, ParseOption};

use super::Problem;

/// A section of a [`Document`].
#[derive(Debug, Clone)]
pub struct Section {
    /// The word that says what the section describes.
    pub kind: String,
    /// The name behind the word, as in `[pool quotes]`.
    pub name: Option<String>,
    /// The line of its header; 1 for keys before any header.
    pub line: usize,
    /// Its keys, in the file's order.
    pub(crate) entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// A parsed INI file.
///
/// # Examples
///
/// ```
/// use vanillafold_types::Document;
///
/// let document = Document::parse("day.ini", "[pool quotes]\nowner = ops\n").unwrap();
/// assert_eq!(document.sections()[0].kind, "pool");
/// assert_eq!(document.sections()[0].name.as_deref(), Some("quotes"));
/// ```
#[derive(Debug, Clone)]
pub struct Document {
    file: String,
    sections: Vec<Section>,
}

impl Document {
    /// Parses `text`; `file` is the name that problems carry.
    ///
    /// # Errors
    ///
    /// One [`Problem`] if the text is not INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problem> {
        let lines = Lines::scan(text).map_err(|(line, message)| Problem {
            file: file.to_owned(),
            line,
            message,
        })?;
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| Problem {
            file: file.to_owned(),
            line: error.line,
            message: format!("expected INI (`[section]`, `key = value`): {}", error.msg),
        })?;
        Ok(Self {
            file: file.to_owned(),
            sections: sections(&ini, &lines),
        })
    }

    /// The name that problems carry.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The sections, in the file's order.
    #[must_use]
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }
}

fn sections(ini: &Ini, lines: &Lines) -> Vec<Section> {
    let mut headers = lines.headers.iter();
    let mut keys = lines.keys.iter();
    let mut sections = Vec::new();
    for (header, properties) in ini {
        if header.is_none() && properties.is_empty() {
            continue;
        }
        let line = match header {
            Some(_) => headers.next().copied().unwrap_or(1),
            None => 1,
        };
        let (kind, name) = split_header(header.unwrap_or_default());
        let entries = properties
            .iter()
            .map(|(key, value)| Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line: keys.next().copied().unwrap_or(line),
            })
            .collect();
        sections.push(Section {
            kind,
            name,
            line,
            entries,
        });
    }
    sections
}

fn split_header(header: &str) -> (String, Option<String>) {
    match header.split_once(char::is_whitespace) {
        Some((kind, name)) => (kind.to_owned(), Some(name.trim().to_owned())),
        None => (header.to_owned(), None),
    }
}

/// Where headers and keys stand, in the file's order. `rust-ini` keeps that order but no lines.
struct Lines {
    headers: Vec<usize>,
    keys: Vec<usize>,
}

impl Lines {
    /// Refuses what `rust-ini` would read over a line's end: its lines could not be told.
    fn scan(text: &str) -> Result<Self, (usize, String)> {
        let mut lines = Self {
            headers: Vec::new(),
            keys: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let line = line.trim();
            let wrong = match line.chars().next() {
                None | Some('#' | ';') => None,
                // It hides the character behind it from the parser, a line's end included.
                Some(_) if line.contains('\\') => {
                    Some(format!("expected no backslash, found `{line}`"))
                }
                Some('[') => {
                    lines.headers.push(number);
                    wrong_header(line)
                }
                Some(_) => {
                    lines.keys.push(number);
                    wrong_key(line)
                }
            };
            if let Some(message) = wrong {
                return Err((number, message));
            }
        }
        Ok(lines)
    }
}

fn wrong_header(line: &str) -> Option<String> {
    match line.split_once(']') {
        Some((_, "")) => None,
        _ => Some(format!("expected `[section]`, found `{line}`")),
    }
}

fn wrong_key(line: &str) -> Option<String> {
    match line.split_once(['=', ':']) {
        None => Some(format!(
            "expected `[section]` or `key = value`, found `{line}`"
        )),
        Some((key, value)) if has_open_quote(value.trim_start()) => {
            let key = key.trim_end();
            Some(format!(
                "{key}: expected the end of the quote on the same line"
            ))
        }
        Some(_) => None,
    }
}

/// Whether a quote that `value` begins with goes on over the line's end.
fn has_open_quote(value: &str) -> bool {
    let Some(quote) = value
        .chars()
        .next()
        .filter(|first| ['"', '\''].contains(first))
    else {
        return false;
    };
    match value[1..].split_once(quote) {
        Some((_, behind)) => has_open_quote(behind),
        None => true,
    }
}
