//! A flag that is set when the user interrupts the program.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGINT, SIGTERM};

use super::RigError;

/// Records SIGINT and SIGTERM, so that a program can end the processes that it started before it
/// ends itself.
#[derive(Debug, Clone)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Installs handlers for SIGINT and SIGTERM.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if a handler can't be installed.
    pub fn install() -> Result<Self, RigError> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&flag))
                .map_err(RigError::io("installing signal handlers"))?;
        }
        Ok(Self(flag))
    }

    /// Returns `true` once one of the signals has been received.
    #[must_use]
    pub fn was_received(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
