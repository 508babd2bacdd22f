//! Waiting for what a send needs: a unit of the team and a slot of a target.

use std::rc::Rc;

use monoio::time::sleep_until;
use vanillafold_policy::{PickOptions, PickRefusal};
use vanillafold_types::{ResultCode, VmId};
use vanillafold_wire::http::HttpReader;

use crate::caller::CallerRequest;
use crate::node::{Node, Slot, TeamUnit};
use crate::wait::Ticket;

/// What a send needs.
#[derive(Debug)]
pub(crate) struct Permit {
    /// The team's unit; none on an open queue without a key.
    pub(crate) unit: Option<TeamUnit>,
    /// The target's slot.
    pub(crate) slot: Slot,
}

/// Why there is no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPermit {
    /// The request is refused.
    Refused(ResultCode),
    /// The caller has gone away.
    CallerGone,
}

/// Waits for a permit until the request's deadline.
///
/// Targets in `failed_at` are passed over while there are others.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &mut Vec<VmId>,
    reader: &mut HttpReader,
) -> Result<Permit, NoPermit> {
    let Some(_place) = request.queue.enter() else {
        return Err(NoPermit::Refused(ResultCode::QueueFull));
    };
    let unit = acquire_unit(node, request, reader).await?;
    let slot = acquire_slot(node, request, failed_at, reader).await?;
    Ok(Permit { unit, slot })
}

async fn acquire_unit(
    node: &Rc<Node>,
    request: &CallerRequest,
    reader: &mut HttpReader,
) -> Result<Option<TeamUnit>, NoPermit> {
    let Some(id) = &request.team else {
        return Ok(None);
    };
    let Some(team) = node.team(id) else {
        return Err(NoPermit::Refused(ResultCode::WrongKey));
    };
    let mut woken = team.waiters.is_empty();
    loop {
        if woken {
            match team.try_take() {
                Ok(unit) => {
                    // There may be a unit for the next one too.
                    team.waiters.wake_first();
                    return Ok(Some(unit));
                }
                Err(reason) => node.counters.no_unit(reason.label()),
            }
        }
        let mut ticket = match woken {
            true => team.waiters.rejoin(),
            false => team.waiters.join(),
        };
        wait(request, &mut ticket, reader, ResultCode::TeamLimit).await?;
        woken = true;
    }
}

async fn acquire_slot(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &mut Vec<VmId>,
    reader: &mut HttpReader,
) -> Result<Slot, NoPermit> {
    let pool = &request.queue.pool;
    let mut woken = pool.waiters.is_empty();
    loop {
        if woken {
            match try_take(node, request, failed_at) {
                Ok(slot) => {
                    // There may be room for the next one too.
                    pool.waiters.wake_first();
                    return Ok(slot);
                }
                Err(PickRefusal::NoTarget) => {
                    return Err(NoPermit::Refused(ResultCode::NoTarget));
                }
                Err(PickRefusal::AllExcluded) => {
                    failed_at.clear();
                    continue;
                }
                Err(PickRefusal::AllBusy { .. } | PickRefusal::AllEjected { .. }) => {}
            }
        }
        let mut ticket = match woken {
            true => pool.waiters.rejoin(),
            false => pool.waiters.join(),
        };
        pool.wake_waiters_periodically();
        wait(
            request,
            &mut ticket,
            reader,
            ResultCode::DeadlineBeforeStart,
        )
        .await?;
        woken = true;
    }
}

fn try_take(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &[VmId],
) -> Result<Slot, PickRefusal> {
    let options = PickOptions {
        idempotent: request.idempotent,
        exclude: failed_at,
    };
    let mut rng = node.rng.borrow_mut();
    request.queue.pool.try_take(node.now(), &mut rng, options)
}

/// Waits to be woken; gives up at the deadline with `late`, or when the caller goes away.
async fn wait(
    request: &CallerRequest,
    ticket: &mut Ticket,
    reader: &mut HttpReader,
    late: ResultCode,
) -> Result<(), NoPermit> {
    monoio::select! {
        biased;
        () = ticket.woken() => Ok(()),
        () = sleep_until(request.deadline) => Err(NoPermit::Refused(late)),
        () = reader.closed() => Err(NoPermit::CallerGone),
    }
}
