//! The known name that is most similar to an unknown one, for suggestions in messages.

/// The maximum edit distance of a suggestion; a more distant one would mislead.
const MAX_EDITS: usize = 3;

/// Returns the known name with the smallest edit distance to `name`, if it is small enough for a
/// typing mistake.
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
