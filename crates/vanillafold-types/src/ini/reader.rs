//! Typed reading of a section that collects all problems instead of stopping at the first.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use super::document::{Document, Entry, Section};
use super::{Problem, nearest_name};

/// Reads and parses the keys of one section and collects the problems.
///
/// Call [`Reader::finish`] last: it reports the keys that were never requested.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    requested: Vec<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `section` of `document` that adds to `problems`.
    pub fn new(
        document: &'a Document,
        section: &'a Section,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        Self {
            file: document.file(),
            section,
            requested: Vec::new(),
            problems,
        }
    }

    /// Parses the section's name. Reports a problem if the name is missing or invalid.
    pub fn name<T>(&mut self) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let kind = &self.section.kind;
        match self.section.name.as_deref().map(str::parse::<T>) {
            Some(Ok(name)) => Some(name),
            Some(Err(error)) => {
                self.problem(self.section.line, format!("the name of [{kind}]: {error}"));
                None
            }
            None => {
                let message = format!("[{kind}] has no name: expected [{kind} NAME]");
                self.problem(self.section.line, message);
                None
            }
        }
    }

    /// Parses the value of a required key. Reports a problem if the key is missing or its value
    /// invalid.
    pub fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.value(key) {
            Some(entry) => self.parse(&entry),
            None => {
                let message = format!("[{}] lacks {key}: expected `{key} = ...`", self.title());
                self.problem(self.section.line, message);
                None
            }
        }
    }

    /// Parses the value of an optional key. Reports a problem if the value is invalid.
    pub fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let entry = self.value(key)?;
        self.parse(&entry)
    }

    /// Parses the value of an optional key, or returns `default` if the key is missing or its value
    /// invalid, which is reported as a problem.
    pub fn optional_or<T>(&mut self, key: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Parses the value of an optional key that must lie in `range`. Returns `default` if the key
    /// is missing, or if the value is invalid or out of range, which is reported as a problem.
    pub fn ranged<T>(&mut self, key: &'static str, default: T, range: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Display,
        T::Err: Display,
    {
        let Some(entry) = self.value(key) else {
            return default;
        };
        match self.parse::<T>(&entry) {
            Some(value) if range.contains(&value) => value,
            Some(value) => {
                let (min, max) = range.into_inner();
                let message = format!("{key}: expected {min} to {max}, found {value}");
                self.problem(entry.line, message);
                default
            }
            None => default,
        }
    }

    /// Parses the comma-separated values of an optional key; empty if the key is missing. Reports a
    /// problem for each invalid item and leaves it out.
    pub fn list<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(entry) = self.value(key) else {
            return Vec::new();
        };
        entry
            .value
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .filter_map(|item| {
                self.parse(&Entry {
                    value: item.to_owned(),
                    ..entry.clone()
                })
            })
            .collect()
    }

    /// Reports a problem at the line of `key`, or of the section's header if the key is missing.
    pub fn problem_at(&mut self, key: &str, message: impl Into<String>) {
        self.problem(self.section.line_of(key), message.into());
    }

    /// Reports the keys that were never requested and the keys that are given twice.
    pub fn finish(self) {
        let known = self.requested.join(", ");
        for (index, entry) in self.section.entries.iter().enumerate() {
            let key = entry.key.as_str();
            let message = if !self.requested.contains(&key) {
                match nearest_name(key, self.requested.iter().copied()) {
                    Some(nearest) => format!("unknown key {key}: did you mean {nearest}?"),
                    None => format!("unknown key {key}: expected one of {known}"),
                }
            } else if self.section.entries[..index]
                .iter()
                .any(|earlier| earlier.key == key)
            {
                format!("{key} is given twice: keep one of them")
            } else {
                continue;
            };
            self.problems.push(Problem {
                file: self.file.to_owned(),
                line: entry.line,
                message,
            });
        }
    }

    fn title(&self) -> String {
        match &self.section.name {
            Some(name) => format!("{} {name}", self.section.kind),
            None => self.section.kind.clone(),
        }
    }

    fn value(&mut self, key: &'static str) -> Option<Entry> {
        if !self.requested.contains(&key) {
            self.requested.push(key);
        }
        self.section
            .entries
            .iter()
            .find(|entry| entry.key == key)
            .cloned()
    }

    fn parse<T>(&mut self, entry: &Entry) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.problem(entry.line, format!("{}: {error}", entry.key));
                None
            }
        }
    }

    fn problem(&mut self, line: usize, message: String) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            message,
        });
    }
}
