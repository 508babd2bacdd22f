//! Rules about limits that contradict each other.

use crate::catalogue::text::DEFAULT_MAX_BODY;
use crate::{
    CatalogueFile, EntryName, Finding, Limit, MAX_REPLAYABLE_BODY, MIN_RETRY_REMAINING, Millis,
    Percent, Pool, Queue, Team,
};

/// The number of VMs in an average pool of the size that the product is built for: 16,000 VMs in
/// 317 pools (docs/CAPACITY.md).
const AVERAGE_POOL_VMS: u64 = 50;

/// What a link of 10 Gbit/s carries in a millisecond, more than an entry VM is expected to have.
const LINK_BYTES_PER_MS: u64 = 1_250_000;

/// A team with a larger share than others, and a limit below what the share gives it even if a pool
/// has a single VM. Its operator expects it to get more than the others when all slots are in use,
/// but it is held at its limit at any size of the pool, so that the share has no effect.
pub(super) fn share_above_limit(catalogue: &CatalogueFile) -> Vec<Finding> {
    catalogue
        .teams
        .iter()
        .filter(|team| team.limit > Limit::ZERO && is_share_above_limit(catalogue, team))
        .map(|team| {
            let message = format!(
                "limit {} is below what share {} gives the team of a single VM's slots: the share \
                 has no effect",
                team.limit, team.share
            );
            Finding::warning(EntryName::Team(team.id.clone()), "limit", message)
        })
        .collect()
}

fn is_share_above_limit(catalogue: &CatalogueFile, team: &Team) -> bool {
    let mut competes = false;
    for pool in &catalogue.pools {
        let teams = teams_of(catalogue, pool);
        if !teams.contains(&team) {
            continue;
        }
        competes |= teams.iter().any(|other| other.share < team.share);
        let sum: u64 = teams.iter().map(|team| u64::from(team.share.get())).sum();
        let of_one_vm = u64::from(pool.slots_per_vm.get()) * u64::from(team.share.get());
        if u64::from(team.limit.get()) * sum >= of_one_vm {
            return false;
        }
    }
    competes
}

/// Returns the teams that a queue of the pool accepts.
fn teams_of<'a>(catalogue: &'a CatalogueFile, pool: &Pool) -> Vec<&'a Team> {
    let accepts = |team: &Team| {
        let mut queues = catalogue.queues.iter();
        queues.any(|queue| queue.pool == pool.id && queue.accepts_team(&team.id))
    };
    catalogue
        .teams
        .iter()
        .filter(|team| accepts(team))
        .collect()
}

/// A queue in which fewer requests may wait on a daemon than one VM has slots. When a VM's slots
/// come free together, as after maintenance, the daemon can't fill them with what waits: slots stay
/// idle just after requests were refused with 301.
pub(super) fn waiting_below_slots(catalogue: &CatalogueFile) -> Vec<Finding> {
    let pool_of = |queue: &Queue| catalogue.pools.iter().find(|pool| pool.id == queue.pool);
    let mut found = Vec::new();
    for queue in &catalogue.queues {
        match pool_of(queue) {
            Some(pool) if (1..pool.slots_per_vm.get()).contains(&queue.max_waiting) => {
                let message = format!(
                    "max_waiting {} is below slots_per_vm of pool {} ({}): requests are refused \
                     with 301 that one VM could run",
                    queue.max_waiting, pool.id, pool.slots_per_vm
                );
                let entry = EntryName::Queue(queue.id.clone());
                found.push(Finding::warning(entry, "max_waiting", message));
            }
            _ => {}
        }
    }
    found
}

/// A pool of which no VM may be unavailable at any size, or only if the pool has more than
/// [`AVERAGE_POOL_VMS`]. Its VMs never get their maintenance, or get it against the operator's
/// limit. The size of the pool is not in the file, so that the message names the smallest that
/// works.
pub(super) fn pool_without_maintenance(catalogue: &CatalogueFile) -> Vec<Finding> {
    let mut found = Vec::new();
    for pool in &catalogue.pools {
        let percent = pool.min_available_percent;
        let message = match smallest_maintainable_pool(percent) {
            None => format!(
                "min_available_percent {percent}: no VM may leave for maintenance, at any size of \
                 the pool"
            ),
            Some(vms) if vms > AVERAGE_POOL_VMS => format!(
                "min_available_percent {percent}: no VM may leave for maintenance unless the pool \
                 has {vms} VMs or more"
            ),
            Some(_) => continue,
        };
        let entry = EntryName::Pool(pool.id.clone());
        found.push(Finding::warning(entry, "min_available_percent", message));
    }
    found
}

/// Returns the number of VMs from which on one of them may be unavailable; `None` if none ever may.
fn smallest_maintainable_pool(min_available: Percent) -> Option<u64> {
    match 100_u64.saturating_sub(u64::from(min_available.get())) {
        0 => None,
        unavailable_percent => Some(100_u64.div_ceil(unavailable_percent)),
    }
}

/// A queue that allows retries, but no deadline that is long enough for one. A request that meets a
/// lost connection or a busy VM fails, although `retry_percent` says that it may be sent again.
pub(super) fn deadline_below_retry(catalogue: &CatalogueFile) -> Vec<Finding> {
    let is_below = |queue: &Queue| {
        queue.max_deadline_ms <= MIN_RETRY_REMAINING && queue.retry_percent > Percent::ZERO
    };
    catalogue
        .queues
        .iter()
        .filter(|queue| is_below(queue))
        .map(|queue| {
            let message = format!(
                "max_deadline_ms {}: a retry needs {MIN_RETRY_REMAINING} until the deadline, so \
                 that retry_percent {} has no effect",
                queue.max_deadline_ms, queue.retry_percent
            );
            let entry = EntryName::Queue(queue.id.clone());
            Finding::warning(entry, "max_deadline_ms", message)
        })
        .collect()
}

/// A queue that allows a retry for every request, and sets `max_body` to a size of which no body
/// can be sent again. An upload that loses its connection fails, although the queue says that every
/// request may be retried. Smaller percentages and the default of `max_body` make no such promise.
pub(super) fn body_without_retry(catalogue: &CatalogueFile) -> Vec<Finding> {
    let promises_retry = |queue: &Queue| {
        queue.retry_percent == Percent::new(100)
            && queue.max_body > MAX_REPLAYABLE_BODY
            && queue.max_body != DEFAULT_MAX_BODY
    };
    catalogue
        .queues
        .iter()
        .filter(|queue| promises_retry(queue))
        .map(|queue| {
            let message = format!(
                "max_body {}: a body above {MAX_REPLAYABLE_BODY} can't be sent again once a part \
                 was sent, although retry_percent is {}",
                queue.max_body, queue.retry_percent
            );
            Finding::warning(EntryName::Queue(queue.id.clone()), "max_body", message)
        })
        .collect()
}

/// A queue with a raised `max_body` of which no body can arrive within the longest deadline, even at
/// 10 Gbit/s. Callers send such bodies for the whole deadline, in vain, and hold a slot meanwhile.
pub(super) fn body_beyond_deadline(catalogue: &CatalogueFile) -> Vec<Finding> {
    let least_ms = |queue: &Queue| Millis::new(queue.max_body.get().div_ceil(LINK_BYTES_PER_MS));
    catalogue
        .queues
        .iter()
        .filter(|queue| {
            queue.max_body > DEFAULT_MAX_BODY && least_ms(queue) > queue.max_deadline_ms
        })
        .map(|queue| {
            let message = format!(
                "max_body {}: such a body takes {} at 10 Gbit/s, longer than max_deadline_ms ({})",
                queue.max_body,
                least_ms(queue),
                queue.max_deadline_ms
            );
            Finding::warning(EntryName::Queue(queue.id.clone()), "max_body", message)
        })
        .collect()
}

/// An open queue that lists teams. The list keeps nobody out: callers of other teams are refused
/// with their key (203) and served without it, and then count against no team's limit.
pub(super) fn teams_of_open_queue(catalogue: &CatalogueFile) -> Vec<Finding> {
    catalogue
        .queues
        .iter()
        .filter(|queue| queue.open && !queue.teams.is_empty())
        .map(|queue| {
            let message = "the queue is open, so that teams keeps nobody out: other callers are \
                           served without a key";
            let entry = EntryName::Queue(queue.id.clone());
            Finding::warning(entry, "teams", message.to_owned())
        })
        .collect()
}
