//! A parsed INI file with the line numbers of its sections and keys.

use ini::{Ini, ParseOption};

use super::Problem;

/// A section of a [`Document`].
#[derive(Debug, Clone)]
pub struct Section {
    /// The first word of the header, which says what the section describes.
    pub kind: String,
    /// The name after the kind, such as `quotes` in `[pool quotes]`.
    pub name: Option<String>,
    /// The line of the header, counted from 1; 1 for keys before the first header.
    pub line: usize,
    /// The keys and values, in the order of the file.
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Returns the line of `key`, or of the section's header if the section lacks the key.
    #[must_use]
    pub fn line_of(&self, key: &str) -> usize {
        self.entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or(self.line, |entry| entry.line)
    }
}

/// A key of a section with its value and line.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// A parsed INI file, with the line number of each section and key.
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
    /// Parses `text`; `file` is the file name that problems report.
    ///
    /// # Errors
    ///
    /// Returns the first [`Problem`] if the text is not INI.
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

    /// Returns the file name that problems report.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the sections, in the order of the file.
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

/// The line numbers of headers and keys, in the order of the file. `rust-ini` keeps this order but
/// no line numbers.
struct Lines {
    headers: Vec<usize>,
    keys: Vec<usize>,
}

impl Lines {
    /// Finds the lines of headers and keys.
    ///
    /// Returns an error for what `rust-ini` would continue on the next line, because the lines of
    /// the keys after it could not be determined.
    fn scan(text: &str) -> Result<Self, (usize, String)> {
        let mut lines = Self {
            headers: Vec::new(),
            keys: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let line = line.trim();
            let problem = match line.chars().next() {
                None | Some('#' | ';') => None,
                // A backslash escapes the character after it for the parser, even a line's end.
                Some(_) if line.contains('\\') => {
                    Some(format!("expected no backslash, found `{line}`"))
                }
                Some('[') => {
                    lines.headers.push(number);
                    header_problem(line)
                }
                Some(_) => {
                    lines.keys.push(number);
                    key_problem(line)
                }
            };
            if let Some(message) = problem {
                return Err((number, message));
            }
        }
        Ok(lines)
    }
}

fn header_problem(line: &str) -> Option<String> {
    match line.split_once(']') {
        Some((_, "")) => None,
        _ => Some(format!("expected `[section]`, found `{line}`")),
    }
}

fn key_problem(line: &str) -> Option<String> {
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

/// Returns whether `value` begins with a quote that is not closed on the same line.
fn has_open_quote(value: &str) -> bool {
    let Some(quote) = value
        .chars()
        .next()
        .filter(|first| ['"', '\''].contains(first))
    else {
        return false;
    };
    match value[1..].split_once(quote) {
        Some((_, rest)) => has_open_quote(rest),
        None => true,
    }
}
