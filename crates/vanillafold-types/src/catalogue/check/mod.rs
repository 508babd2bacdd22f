//! Warnings about a valid catalogue that can't work as its text says.
//!
//! Each rule is a function over the [`CatalogueFile`]; its comment says what the operator of such a
//! catalogue would suffer. A rule reports only what holds for every size of the fleet and every
//! load, except where its comment names a bound, because a false alarm would stop scripts that
//! refuse a catalogue with warnings.

mod contradiction;
mod unusable;

use super::{CatalogueFile, Finding};

/// A rule: returns a warning for each entry that breaks it.
type Rule = fn(&CatalogueFile) -> Vec<Finding>;

const RULES: [Rule; 14] = [
    unusable::pool_without_queue,
    unusable::team_without_queue,
    unusable::team_without_limit,
    unusable::queue_without_runnable_team,
    unusable::queue_without_waiting_requests,
    unusable::queue_with_unreachable_name,
    unusable::team_listed_twice,
    contradiction::share_above_limit,
    contradiction::waiting_below_slots,
    contradiction::pool_without_maintenance,
    contradiction::deadline_below_retry,
    contradiction::body_without_retry,
    contradiction::body_beyond_deadline,
    contradiction::teams_of_open_queue,
];

/// Returns the warnings about a valid catalogue: entries that can never be used, and limits that
/// contradict each other.
///
/// # Examples
///
/// ```
/// use vanillafold_types::{CatalogueFile, warnings};
///
/// let text = "[pool quotes]\nowner = ops\nclass = urgent\n";
/// let catalogue = CatalogueFile::parse("catalogue.ini", text).unwrap();
/// assert_eq!(warnings(&catalogue)[0].entry.to_string(), "pool quotes");
/// ```
#[must_use]
pub fn warnings(catalogue: &CatalogueFile) -> Vec<Finding> {
    RULES.iter().flat_map(|rule| rule(catalogue)).collect()
}
