//! The part of a path behind `?`.

use std::str::FromStr;

use vanillafold_types::{Offset, ZoneId};

/// The numbers and names of a query; those that are absent have their defaults.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) from: Offset,
    pub(crate) max: usize,
    pub(crate) wait_ms: u64,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) since: u64,
}

impl Query {
    /// Reads a query; `None` if it is malformed.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut query = Self {
            from: Offset::new(1),
            max: 1_000,
            wait_ms: 0,
            zone: None,
            since: 0,
        };
        for part in text.split('&').filter(|part| !part.is_empty()) {
            let (name, text) = part.split_once('=')?;
            match name {
                "from" => query.from = value(text)?,
                "max" => query.max = value(text)?,
                "wait_ms" => query.wait_ms = value(text)?,
                "zone" => query.zone = Some(value(text)?),
                "since" => query.since = value(text)?,
                _ => return None,
            }
        }
        Some(query)
    }
}

fn value<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
