//! Rules about entries that can never be used.

use crate::{CatalogueFile, EntryName, Finding, Limit, Pool, Queue, Team};

/// A pool that no queue names. Its VMs run and cost money, but no request ever reaches them.
pub(super) fn pool_without_queue(catalogue: &CatalogueFile) -> Vec<Finding> {
    let is_named = |pool: &Pool| catalogue.queues.iter().any(|queue| queue.pool == pool.id);
    catalogue
        .pools
        .iter()
        .filter(|pool| !is_named(pool))
        .map(|pool| {
            let message = "no queue names this pool: its VMs get no requests";
            Finding::warning(EntryName::Pool(pool.id.clone()), "", message.to_owned())
        })
        .collect()
}

/// A team that no queue accepts. Its callers have valid keys, but are refused with 203 everywhere.
pub(super) fn team_without_queue(catalogue: &CatalogueFile) -> Vec<Finding> {
    let is_accepted = |team: &Team| {
        let mut queues = catalogue.queues.iter();
        queues.any(|queue| queue.accepts_team(&team.id))
    };
    catalogue
        .teams
        .iter()
        .filter(|team| !is_accepted(team))
        .map(|team| {
            let message = "no queue accepts this team: requests with its keys are refused with 203";
            Finding::warning(EntryName::Team(team.id.clone()), "", message.to_owned())
        })
        .collect()
}

/// A team with limit 0. Each of its requests waits until its deadline and is refused with 300,
/// which tells the caller to wait for running work to end although none is running.
pub(super) fn team_without_limit(catalogue: &CatalogueFile) -> Vec<Finding> {
    catalogue
        .teams
        .iter()
        .filter(|team| team.limit == Limit::ZERO)
        .map(|team| {
            let message = "limit is 0: requests of this team wait until their deadline and are \
                           refused with 300";
            let entry = EntryName::Team(team.id.clone());
            Finding::warning(entry, "limit", message.to_owned())
        })
        .collect()
}

/// A queue that takes requests only with a key, while no team that it accepts may run anything.
/// It looks like a working queue, but refuses every request.
pub(super) fn queue_without_runnable_team(catalogue: &CatalogueFile) -> Vec<Finding> {
    let is_runnable = |queue: &Queue| {
        let mut teams = catalogue.teams.iter();
        queue.open || teams.any(|team| team.limit > Limit::ZERO && queue.accepts_team(&team.id))
    };
    catalogue
        .queues
        .iter()
        .filter(|queue| !is_runnable(queue))
        .map(|queue| {
            let message = match catalogue.teams.is_empty() {
                true => {
                    "the queue is not open and the catalogue has no teams: every request is \
                         refused for its key"
                }
                false => "every team that the queue accepts has limit 0: no request is served",
            };
            let entry = EntryName::Queue(queue.id.clone());
            Finding::warning(entry, "teams", message.to_owned())
        })
        .collect()
}

/// A queue with `max_waiting` 0. Each request counts as waiting until it has a slot, also if one is
/// free, so that every request is refused with 301 while the VMs are idle.
pub(super) fn queue_without_waiting_requests(catalogue: &CatalogueFile) -> Vec<Finding> {
    catalogue
        .queues
        .iter()
        .filter(|queue| queue.max_waiting == 0)
        .map(|queue| {
            let message = "max_waiting is 0: every request is refused with 301, also while slots \
                           are free";
            let entry = EntryName::Queue(queue.id.clone());
            Finding::warning(entry, "max_waiting", message.to_owned())
        })
        .collect()
}

/// A queue called `.` or `..`. HTTP clients remove such segments from a path before they send it
/// (RFC 3986, 5.2.4), so that callers get 104 or reach another queue.
pub(super) fn queue_with_unreachable_name(catalogue: &CatalogueFile) -> Vec<Finding> {
    catalogue
        .queues
        .iter()
        .filter(|queue| [".", ".."].contains(&queue.id.as_str()))
        .map(|queue| {
            let message = "HTTP clients remove this name from the path: callers can't reach the \
                           queue";
            Finding::warning(EntryName::Queue(queue.id.clone()), "", message.to_owned())
        })
        .collect()
}

/// A queue that lists a team twice. The second place was most likely meant for another team, whose
/// callers are refused with 203.
pub(super) fn team_listed_twice(catalogue: &CatalogueFile) -> Vec<Finding> {
    let mut found = Vec::new();
    for queue in &catalogue.queues {
        for (index, team) in queue.teams.iter().enumerate() {
            if queue.teams[..index].contains(team) {
                let entry = EntryName::Queue(queue.id.clone());
                let message = format!("teams names {team} twice: was another team meant?");
                found.push(Finding::warning(entry, "teams", message));
            }
        }
    }
    found
}
