//! `daemon fence` and `daemon release`: an operator's word about daemons that are gone.

use vanillafold::state::ControlChange;
use vanillafold::types::{DaemonId, Offset};

use crate::session::{Publisher, SessionError};

/// Why nothing was published about a daemon.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum DaemonError {
    /// The daemon never joined the fleet.
    #[error("no daemon called {0} has joined the fleet; check its name")]
    Unknown(DaemonId),
    /// The word was not published.
    #[error(transparent)]
    Session(#[from] SessionError),
}

/// Says that the current start of a daemon is gone for good: the others take over its units
/// beyond its floor, after the handover time.
///
/// # Errors
///
/// [`DaemonError`].
pub(crate) async fn fence(
    publisher: &mut Publisher,
    daemon: DaemonId,
) -> Result<Offset, DaemonError> {
    publisher.read_control().await?;
    let member = publisher.state().roster().member(&daemon);
    let incarnation = match member {
        Some(member) => member.incarnation,
        None => return Err(DaemonError::Unknown(daemon)),
    };
    let change = ControlChange::Fence {
        daemon,
        incarnation,
    };
    Ok(publisher.publish_control(change).await?)
}

/// Vouches that every earlier start of a daemon is dead and not just cut off: its floor may be
/// used again.
///
/// # Errors
///
/// [`DaemonError`].
pub(crate) async fn release(
    publisher: &mut Publisher,
    daemon: DaemonId,
) -> Result<Offset, DaemonError> {
    publisher.read_control().await?;
    let member = publisher.state().roster().member(&daemon);
    let incarnation = match member {
        // The latest of the earlier starts stands for all of them.
        Some(member) => member
            .unreleased
            .last()
            .map_or(member.incarnation, |start| start.incarnation),
        None => return Err(DaemonError::Unknown(daemon)),
    };
    let change = ControlChange::Release {
        daemon,
        incarnation,
    };
    Ok(publisher.publish_control(change).await?)
}
