//! The comparison of two catalogues, entry by entry and field by field.

use std::fmt;

use super::{CatalogueFile, EntryName, Finding, FindingKind, Pool, Queue, Team, WILDCARD_TEAMS};
use crate::TeamId;

/// A field of an entry, as the catalogue file gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The key of the field.
    pub key: &'static str,
    /// The value of the field, also if it is the default.
    pub value: String,
    /// The value as a number if the field is an upper limit.
    limit: Option<u64>,
}

impl Field {
    fn new(key: &'static str, value: &impl ToString) -> Self {
        Self {
            key,
            value: value.to_string(),
            limit: None,
        }
    }

    fn limit(key: &'static str, value: &impl ToString, number: impl Into<u64>) -> Self {
        Self {
            key,
            value: value.to_string(),
            limit: Some(number.into()),
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.key, self.value)
    }
}

/// A field with different values in the two catalogues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// The field of the published entry.
    pub from: Field,
    /// The field of the desired entry.
    pub to: Field,
}

impl FieldChange {
    /// Returns whether the field is an upper limit that becomes lower, so that work that is
    /// accepted now may be refused.
    #[must_use]
    pub fn lowers_limit(&self) -> bool {
        matches!((self.from.limit, self.to.limit), (Some(from), Some(to)) if to < from)
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (&self.from, &self.to);
        write!(f, "{}: {} -> {}", from.key, from.value, to.value)?;
        match self.lowers_limit() {
            true => f.write_str(" (lower limit)"),
            false => Ok(()),
        }
    }
}

/// How an entry differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// Only the desired catalogue has the entry; holds its fields.
    Added(Vec<Field>),
    /// Both catalogues have the entry; holds the fields that differ.
    Changed(Vec<FieldChange>),
    /// Only the published catalogue has the entry; holds its fields.
    Removed(Vec<Field>),
}

/// An entry that differs between two catalogues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The name of the entry.
    pub entry: EntryName,
    /// How the entry differs.
    pub change: EntryChange,
}

impl Difference {
    /// Returns a finding for the entry, or for each of its fields if the entry is changed.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let finding = |kind, key, message| Finding {
            kind,
            entry: self.entry.clone(),
            key,
            message,
        };
        match &self.change {
            EntryChange::Added(fields) => vec![finding(FindingKind::Added, "", join(fields))],
            EntryChange::Removed(fields) => vec![finding(FindingKind::Removed, "", join(fields))],
            EntryChange::Changed(changes) => changes
                .iter()
                .map(|change| finding(FindingKind::Changed, change.from.key, change.to_string()))
                .collect(),
        }
    }
}

/// Joins fields by semicolons, because a list of teams has commas.
fn join(fields: &[Field]) -> String {
    let texts: Vec<String> = fields.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Returns how `desired` differs from `published`: first the pools, teams and queues that are new
/// or changed, then the queues, teams and pools that are removed.
#[must_use]
pub fn compare(published: &CatalogueFile, desired: &CatalogueFile) -> Vec<Difference> {
    let mut differences = Vec::new();
    differences.extend(additions_and_changes(&published.pools, &desired.pools));
    differences.extend(additions_and_changes(&published.teams, &desired.teams));
    differences.extend(additions_and_changes(&published.queues, &desired.queues));
    differences.extend(removals(&published.queues, &desired.queues));
    differences.extend(removals(&published.teams, &desired.teams));
    differences.extend(removals(&published.pools, &desired.pools));
    differences
}

fn additions_and_changes<'a, T: Entry>(
    published: &'a [T],
    desired: &'a [T],
) -> impl Iterator<Item = Difference> + 'a {
    desired.iter().filter_map(|entry| {
        let change = match published.iter().find(|other| other.name() == entry.name()) {
            None => EntryChange::Added(entry.fields()),
            Some(other) if other == entry => return None,
            Some(other) => EntryChange::Changed(changed_fields(other, entry)),
        };
        Some(Difference {
            entry: entry.name(),
            change,
        })
    })
}

fn changed_fields<T: Entry>(published: &T, desired: &T) -> Vec<FieldChange> {
    published
        .fields()
        .into_iter()
        .zip(desired.fields())
        .filter(|(from, to)| from != to)
        .map(|(from, to)| FieldChange { from, to })
        .collect()
}

fn removals<'a, T: Entry>(
    published: &'a [T],
    desired: &'a [T],
) -> impl Iterator<Item = Difference> + 'a {
    published
        .iter()
        .filter(|entry| !desired.iter().any(|other| other.name() == entry.name()))
        .map(|entry| Difference {
            entry: entry.name(),
            change: EntryChange::Removed(entry.fields()),
        })
}

/// An entry of the catalogue file.
trait Entry: PartialEq {
    fn name(&self) -> EntryName;

    /// Returns the fields in the order of `docs/SETTINGS.md`, without the name. Two entries are
    /// equal if all their fields are.
    fn fields(&self) -> Vec<Field>;
}

// The implementations name every field of the structs, so that a new one can't be left out.
impl Entry for Pool {
    fn name(&self) -> EntryName {
        EntryName::Pool(self.id.clone())
    }

    fn fields(&self) -> Vec<Field> {
        let Self {
            id: _,
            owner,
            class,
            min_available_percent,
            slots_per_vm,
            connections_per_vm,
        } = self;
        vec![
            Field::new("owner", owner),
            Field::new("class", class),
            Field::new("min_available_percent", min_available_percent),
            Field::limit("slots_per_vm", slots_per_vm, slots_per_vm.get()),
            Field::limit(
                "connections_per_vm",
                connections_per_vm,
                connections_per_vm.get(),
            ),
        ]
    }
}

impl Entry for Team {
    fn name(&self) -> EntryName {
        EntryName::Team(self.id.clone())
    }

    fn fields(&self) -> Vec<Field> {
        let Self {
            id: _,
            owner,
            class,
            share,
            limit,
        } = self;
        vec![
            Field::new("owner", owner),
            Field::new("class", class),
            Field::new("share", share),
            Field::limit("limit", limit, limit.get()),
        ]
    }
}

impl Entry for Queue {
    fn name(&self) -> EntryName {
        EntryName::Queue(self.id.clone())
    }

    fn fields(&self) -> Vec<Field> {
        let Self {
            id: _,
            owner,
            class,
            pool,
            open,
            teams,
            deadline_ms,
            max_deadline_ms,
            max_waiting,
            retry_percent,
            max_body,
        } = self;
        let open = match open {
            true => "yes",
            false => "no",
        };
        let teams = match teams.as_slice() {
            [] => WILDCARD_TEAMS.to_owned(),
            teams => {
                let names: Vec<&str> = teams.iter().map(TeamId::as_str).collect();
                names.join(", ")
            }
        };
        vec![
            Field::new("owner", owner),
            Field::new("class", class),
            Field::new("pool", pool),
            Field::new("open", &open),
            Field::new("teams", &teams),
            Field::new("deadline_ms", deadline_ms),
            Field::limit("max_deadline_ms", max_deadline_ms, max_deadline_ms.get()),
            Field::limit("max_waiting", max_waiting, *max_waiting),
            Field::limit("retry_percent", retry_percent, retry_percent.get()),
            Field::limit("max_body", max_body, max_body.get()),
        ]
    }
}
