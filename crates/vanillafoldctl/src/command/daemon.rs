//! The commands `daemon fence` and `daemon release`, by which an operator confirms that
//! incarnations of a daemon have ended.

use vanillafold::state::ControlChange;
use vanillafold::types::{DaemonId, Offset};

use crate::publish::{PublishError, Publisher};

/// Why a daemon was not fenced or released.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum DaemonError {
    /// No daemon of this name has ever joined the fleet.
    #[error("no daemon called {0} has joined the fleet; check its name")]
    Unknown(DaemonId),
    /// The change was not published or not accepted.
    #[error(transparent)]
    Publish(#[from] PublishError),
}

/// Fences the current incarnation of a daemon, whose VM is gone for good: after the handover time
/// the other daemons take over its units beyond its floor. Returns the offset of the record.
///
/// # Errors
///
/// Returns a [`DaemonError`] if the daemon is unknown or the change was not published or accepted.
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

/// Releases a daemon, whose earlier incarnations have all ended and are not just partitioned from
/// the others: its floor may be used again. Returns the offset of the record.
///
/// # Errors
///
/// Returns a [`DaemonError`] if the daemon is unknown or the change was not published or accepted.
pub(crate) async fn release(
    publisher: &mut Publisher,
    daemon: DaemonId,
) -> Result<Offset, DaemonError> {
    publisher.read_control().await?;
    let member = publisher.state().roster().member(&daemon);
    let incarnation = match member {
        // Releasing the latest of the earlier incarnations releases all of them.
        Some(member) => member
            .unreleased
            .last()
            .map_or(member.incarnation, |unreleased| unreleased.incarnation),
        None => return Err(DaemonError::Unknown(daemon)),
    };
    let change = ControlChange::Release {
        daemon,
        incarnation,
    };
    Ok(publisher.publish_control(change).await?)
}
