//! `apply`: brings the catalogue to what a file says.

use vanillafold::state::{CatalogueChange, Entry, EntryEdit, State, WithRevision};
use vanillafold::types::{CatalogueText, EntryName, Offset, Revision};

use crate::session::{Publisher, SessionError};

/// Publishes the edits that lead from the catalogue to `text`; `None` if there are none.
///
/// # Errors
///
/// [`SessionError`].
pub(crate) async fn apply(
    publisher: &mut Publisher,
    text: &CatalogueText,
) -> Result<Option<Offset>, SessionError> {
    let edits = edits(publisher.state(), text);
    if edits.is_empty() {
        return Ok(None);
    }
    publisher
        .publish(CatalogueChange::Edit(edits))
        .await
        .map(Some)
}

/// The edits that lead from `state` to `text`: changed and new entries, then those to remove.
fn edits(state: &State, text: &CatalogueText) -> Vec<EntryEdit> {
    let mut edits = Vec::new();
    for pool in text.pools.iter().cloned() {
        let present = state.pool(&pool.id).cloned();
        edits.extend(change(Entry::Pool(pool), present, Entry::Pool));
    }
    for team in text.teams.iter().cloned() {
        let present = state.team(&team.id).cloned();
        edits.extend(change(Entry::Team(team), present, Entry::Team));
    }
    for queue in text.queues.iter().cloned() {
        let present = state.queue(queue.id.as_str()).cloned();
        edits.extend(change(Entry::Queue(queue), present, Entry::Queue));
    }
    let queues = state
        .queues()
        .filter(|queue| !text.queues.iter().any(|kept| kept.id == queue.value.id));
    edits
        .extend(queues.map(|gone| removal(EntryName::Queue(gone.value.id.clone()), gone.revision)));
    let teams = state
        .teams()
        .filter(|team| !text.teams.iter().any(|kept| kept.id == team.value.id));
    edits.extend(teams.map(|gone| removal(EntryName::Team(gone.value.id.clone()), gone.revision)));
    let pools = state
        .pools()
        .filter(|pool| !text.pools.iter().any(|kept| kept.id == pool.value.id));
    edits.extend(pools.map(|gone| removal(EntryName::Pool(gone.value.id.clone()), gone.revision)));
    edits
}

fn change<T>(
    wanted: Entry,
    present: Option<WithRevision<T>>,
    wrap: impl Fn(T) -> Entry,
) -> Option<EntryEdit> {
    let (present, expected_revision) = match present {
        Some(present) => (Some(wrap(present.value)), present.revision),
        None => (None, Revision::ZERO),
    };
    (present.as_ref() != Some(&wanted)).then(|| EntryEdit {
        name: wanted.name(),
        expected_revision,
        value: Some(wanted),
    })
}

const fn removal(name: EntryName, expected_revision: Revision) -> EntryEdit {
    EntryEdit {
        name,
        expected_revision,
        value: None,
    }
}
