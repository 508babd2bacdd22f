//! A timeout in which a stall of the process counts only in part.

use std::pin::pin;
use std::time::Duration;

use monoio::time::timeout;

/// Number of parts of a limit. However long the process stalls at a time, one part is used up.
const PARTS: u32 = 4;

/// Error of [`timeout_awake`]: the time is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not ready in time")]
pub struct TimedOut;

/// Waits for a future for at most `limit`, of which a stall of the process uses up a quarter at
/// most.
///
/// A process that was suspended, or that has more work than processor time, finds its timers
/// expired before it has read the answers that have arrived meanwhile. With a plain timeout it
/// would take its own delay for a failure of the other end, and its reaction would be more work.
///
/// # Errors
///
/// Returns [`TimedOut`] if the future is not ready in time.
pub async fn timeout_awake<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    let mut future = pin!(future);
    for _ in 0..PARTS {
        if let Ok(output) = timeout(limit / PARTS, future.as_mut()).await {
            return Ok(output);
        }
    }
    Err(TimedOut)
}
