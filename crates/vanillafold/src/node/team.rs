//! The units of a team's limit on this daemon; each running request uses one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_state::{BootMillis, Escrow, NoUnit, UnitSource};
use vanillafold_types::TeamId;
use vanillafold_wire::BootClock;

use crate::wait::WaitList;

/// A team's access to the escrow, and its requests that wait for a unit.
#[derive(Debug)]
pub(crate) struct TeamRuntime {
    pub(crate) id: TeamId,
    /// Requests that wait for a unit.
    pub(crate) waiters: Rc<WaitList>,
    escrow: Rc<RefCell<Escrow>>,
}

/// A unit of a team's limit, in use until it is dropped.
#[derive(Debug)]
pub(crate) struct TeamUnit {
    team: Rc<TeamRuntime>,
    source: Option<UnitSource>,
}

impl TeamRuntime {
    pub(crate) fn new(id: TeamId, escrow: Rc<RefCell<Escrow>>) -> Rc<Self> {
        Rc::new(Self {
            id,
            waiters: WaitList::new(),
            escrow,
        })
    }

    /// Takes a unit if one is free.
    ///
    /// # Errors
    ///
    /// [`NoUnit`] if this daemon may use no further unit of the team now.
    pub(crate) fn try_take(self: &Rc<Self>) -> Result<TeamUnit, NoUnit> {
        let source = self.take_source()?;
        Ok(TeamUnit {
            team: Rc::clone(self),
            source: Some(source),
        })
    }

    fn take_source(&self) -> Result<UnitSource, NoUnit> {
        let now = BootMillis::new(BootClock::now().get());
        self.escrow.borrow_mut().try_take(&self.id, now)
    }
}

impl TeamUnit {
    /// Gives the unit back and takes one again. Called right before the send, because this daemon
    /// may have been suspended since it took the unit and may no longer use it.
    ///
    /// # Errors
    ///
    /// [`NoUnit`] if no unit may be used any more; this one has then been given back.
    pub(crate) fn renew(&mut self) -> Result<(), NoUnit> {
        self.give_back();
        self.source = Some(self.team.take_source()?);
        Ok(())
    }

    /// Gives the unit back after `delay`. For work whose end cannot be observed.
    pub(crate) fn release_after(self, delay: Duration) {
        monoio::spawn(async move {
            sleep(delay).await;
            drop(self);
        });
    }

    fn give_back(&mut self) {
        if let Some(source) = self.source.take() {
            let mut escrow = self.team.escrow.borrow_mut();
            escrow.give_back(&self.team.id, source);
        }
    }
}

impl Drop for TeamUnit {
    fn drop(&mut self) {
        self.give_back();
        self.team.waiters.wake_first();
    }
}
