//! The query of a request to the platform, the part of its URI after `?`.

use std::str::FromStr;

use vanillafold_types::{Offset, ZoneId};

/// The parameters of a query; an absent parameter has its default.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) from_offset: Offset,
    pub(crate) max_records: usize,
    pub(crate) wait_ms: u64,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) since_version: u64,
}

impl Query {
    /// Parses a query; returns `None` if it is malformed or has an unknown parameter.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut query = Self {
            from_offset: Offset::new(1),
            max_records: 1_000,
            wait_ms: 0,
            zone: None,
            since_version: 0,
        };
        for part in text.split('&').filter(|part| !part.is_empty()) {
            let (name, text) = part.split_once('=')?;
            match name {
                "from" => query.from_offset = parse_value(text)?,
                "max" => query.max_records = parse_value(text)?,
                "wait_ms" => query.wait_ms = parse_value(text)?,
                "zone" => query.zone = Some(parse_value(text)?),
                "since" => query.since_version = parse_value(text)?,
                _ => return None,
            }
        }
        Some(query)
    }
}

fn parse_value<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
