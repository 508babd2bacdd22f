//! The nearest known name, for messages about unknown ones.

/// Edits between two names beyond which a suggestion would mislead.
const MAX_EDITS: usize = 3;

/// The known name that is nearest to `name`, if one is near enough to be meant.
///
/// # Examples
///
/// ```
/// use vanillafold_types::nearest_name;
///
/// assert_eq!(nearest_name("pol", ["pool", "team"]), Some("pool"));
/// assert_eq!(nearest_name("colour", ["pool", "team"]), None);
/// ```
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(edits, candidate)| *edits <= MAX_EDITS && *edits < candidate.chars().count())
        .min()
        .map(|(_, candidate)| candidate)
}
