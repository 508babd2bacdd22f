//! The wish to end early.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGINT, SIGTERM};

use super::RigError;

/// Notes SIGINT and SIGTERM, so that a rig can end what it started before it ends itself.
#[derive(Debug, Clone)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Starts noting signals.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`].
    pub fn install() -> Result<Self, RigError> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&flag))
                .map_err(RigError::io("noting signals"))?;
        }
        Ok(Self(flag))
    }

    /// Whether a signal has come.
    #[must_use]
    pub fn was_received(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
