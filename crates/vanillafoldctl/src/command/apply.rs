//! The command `apply`: makes the published catalogue equal to a file.

use vanillafold::state::{CatalogueChange, Entry, EntryEdit, State};
use vanillafold::types::{CatalogueFile, EntryName, Offset, compare};

use crate::publish::{PublishError, Publisher};

/// Publishes the edits that make the catalogue equal to `file`, in one record, and returns the
/// record's offset; `None` if there is nothing to change.
///
/// # Errors
///
/// Returns a [`PublishError`] if the edits were not published or not accepted.
pub(crate) async fn apply(
    publisher: &mut Publisher,
    file: &CatalogueFile,
) -> Result<Option<Offset>, PublishError> {
    let edits = required_edits(publisher.state(), file);
    if edits.is_empty() {
        return Ok(None);
    }
    publisher
        .publish(CatalogueChange::Edit(edits))
        .await
        .map(Some)
}

/// Returns the published catalogue in the form of a file.
pub(super) fn published(state: &State) -> CatalogueFile {
    CatalogueFile {
        pools: state.pools().map(|pool| pool.value.clone()).collect(),
        teams: state.teams().map(|team| team.value.clone()).collect(),
        queues: state.queues().map(|queue| queue.value.clone()).collect(),
    }
}

/// Returns the edits that make `state` equal to `file`: first new and changed entries, then
/// removals.
fn required_edits(state: &State, file: &CatalogueFile) -> Vec<EntryEdit> {
    compare(&published(state), file)
        .into_iter()
        .map(|difference| EntryEdit {
            expected_revision: state.revision(&difference.entry),
            value: entry(file, &difference.entry),
            name: difference.entry,
        })
        .collect()
}

/// Returns an entry of `file`; `None` if the file lacks it.
fn entry(file: &CatalogueFile, name: &EntryName) -> Option<Entry> {
    match name {
        EntryName::Pool(id) => {
            let found = file.pools.iter().find(|pool| pool.id == *id);
            found.cloned().map(Entry::Pool)
        }
        EntryName::Team(id) => {
            let found = file.teams.iter().find(|team| team.id == *id);
            found.cloned().map(Entry::Team)
        }
        EntryName::Queue(id) => {
            let found = file.queues.iter().find(|queue| queue.id == *id);
            found.cloned().map(Entry::Queue)
        }
        EntryName::Key(_) => None,
    }
}
