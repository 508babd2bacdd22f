//! The command `apply`: makes the published catalogue equal to a file.

use vanillafold::state::{CatalogueChange, Entry, EntryEdit, State, WithRevision};
use vanillafold::types::{CatalogueFile, EntryName, Offset, Revision};

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

/// Returns the edits that make `state` equal to `file`: first new and changed entries, then
/// removals.
fn required_edits(state: &State, file: &CatalogueFile) -> Vec<EntryEdit> {
    let mut edits = Vec::new();
    for pool in file.pools.iter().cloned() {
        let published = state.pool(&pool.id).cloned();
        edits.extend(edit_to(Entry::Pool(pool), published, Entry::Pool));
    }
    for team in file.teams.iter().cloned() {
        let published = state.team(&team.id).cloned();
        edits.extend(edit_to(Entry::Team(team), published, Entry::Team));
    }
    for queue in file.queues.iter().cloned() {
        let published = state.queue(queue.id.as_str()).cloned();
        edits.extend(edit_to(Entry::Queue(queue), published, Entry::Queue));
    }
    let queues = state
        .queues()
        .filter(|queue| !file.queues.iter().any(|listed| listed.id == queue.value.id));
    edits.extend(
        queues.map(|removed| removal(EntryName::Queue(removed.value.id.clone()), removed.revision)),
    );
    let teams = state
        .teams()
        .filter(|team| !file.teams.iter().any(|listed| listed.id == team.value.id));
    edits.extend(
        teams.map(|removed| removal(EntryName::Team(removed.value.id.clone()), removed.revision)),
    );
    let pools = state
        .pools()
        .filter(|pool| !file.pools.iter().any(|listed| listed.id == pool.value.id));
    edits.extend(
        pools.map(|removed| removal(EntryName::Pool(removed.value.id.clone()), removed.revision)),
    );
    edits
}

/// Returns the edit that makes an entry equal to `desired`; `None` if it is already published so.
fn edit_to<T>(
    desired: Entry,
    published: Option<WithRevision<T>>,
    wrap: impl Fn(T) -> Entry,
) -> Option<EntryEdit> {
    let (published, expected_revision) = match published {
        Some(published) => (Some(wrap(published.value)), published.revision),
        None => (None, Revision::ZERO),
    };
    (published.as_ref() != Some(&desired)).then(|| EntryEdit {
        name: desired.name(),
        expected_revision,
        value: Some(desired),
    })
}

const fn removal(name: EntryName, expected_revision: Revision) -> EntryEdit {
    EntryEdit {
        name,
        expected_revision,
        value: None,
    }
}
