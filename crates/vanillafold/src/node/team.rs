//! A team's units on this daemon: what it may have running here.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_state::{BootMillis, Escrow, NoUnit, UnitSource};
use vanillafold_types::TeamId;
use vanillafold_wire::BootClock;

use crate::wait::WaitList;

/// The units of one team that this daemon may use.
#[derive(Debug)]
pub(crate) struct TeamRuntime {
    /// The team.
    pub(crate) id: TeamId,
    /// Requests that wait for a unit.
    pub(crate) waiters: Rc<WaitList>,
    escrow: Rc<RefCell<Escrow>>,
}

/// One unit, in use until it is dropped.
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
    /// Why none may be used now.
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
    /// Checks right before the send that the unit may still be used: this daemon may have been
    /// frozen since it took it.
    ///
    /// # Errors
    ///
    /// Why it may not; the unit is then gone.
    pub(crate) fn renew(&mut self) -> Result<(), NoUnit> {
        self.give_back();
        self.source = Some(self.team.take_source()?);
        Ok(())
    }

    /// Keeps the unit in use for `length`: for work whose end can't be seen.
    pub(crate) fn release_after(self, length: Duration) {
        monoio::spawn(async move {
            sleep(length).await;
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
