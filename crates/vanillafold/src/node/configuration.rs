//! The configuration that a node follows: how far the log was read, and what comes of it.

use std::rc::Rc;

use vanillafold_state::{
    AuthenticationError, BootMillis, ControlChange, SnapshotError, State, Stream,
};
use vanillafold_types::{Millis, ResultCode, TeamId};

use super::{Node, QueueRuntime, TeamRuntime};
use crate::append::Change;
use crate::follow::TouchedPools;
use crate::peer::follow_members;

impl Node {
    /// Whether the daemon has a configuration to serve by.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_configuration() && !self.draining.is_set()
    }

    /// Whether both streams have been read up to their ends.
    pub(crate) fn has_configuration(&self) -> bool {
        self.is_caught_up(Stream::Catalogue) && self.is_caught_up(Stream::Control)
    }

    /// Notes that `stream` was read up to its end by a read that began at `began_at`.
    pub(crate) fn caught_up(&self, stream: Stream, began_at: BootMillis) {
        let mut fresh = self.fresh.get();
        match stream {
            Stream::Catalogue => {
                self.catalogue_read.set(true);
                fresh.catalogue_at = fresh.catalogue_at.max(Some(began_at));
            }
            Stream::Control => {
                self.control_read.set(true);
                fresh.control_at = fresh.control_at.max(Some(began_at));
                self.join_fleet();
            }
        }
        self.fresh.set(fresh);
        if let (Some(catalogue_at), Some(control_at)) = (fresh.catalogue_at, fresh.control_at) {
            let at = catalogue_at.min(control_at);
            self.escrow.borrow_mut().mark_fresh(at);
        }
    }

    /// Notes that records of `stream` that are needed next were dropped: the daemon is not ready
    /// until it has a later state.
    pub(crate) fn lost(&self, stream: Stream) {
        self.recovery.note_dropped(stream);
        match stream {
            Stream::Catalogue => self.catalogue_read.set(false),
            Stream::Control => self.control_read.set(false),
        }
    }

    /// Takes over each stream's part of a state that is later than the present one.
    ///
    /// # Errors
    ///
    /// Those of [`State::merge`].
    pub(crate) fn adopt(&self, state: State) -> Result<(), SnapshotError> {
        self.state.borrow_mut().merge(state)?;
        let state = self.state.borrow();
        self.recovery.watch.borrow_mut().note_adopted(
            state.next_offset(Stream::Catalogue),
            state.next_offset(Stream::Control),
            self.boot_time(),
        );
        drop(state);
        self.follow_state(Stream::Control);
        Ok(())
    }

    /// Notes that the state of a peer that is ready was taken over. How fresh it is, records
    /// from peers tell.
    pub(crate) fn started_from_peer(&self) {
        self.catalogue_read.set(true);
        self.control_read.set(true);
        self.join_fleet();
    }

    /// How long ago the read began that last brought `stream` up to its tail.
    pub(crate) fn fresh_age(&self, stream: Stream) -> Option<Millis> {
        let fresh = self.fresh.get();
        let at = match stream {
            Stream::Catalogue => fresh.catalogue_at,
            Stream::Control => fresh.control_at,
        };
        at.map(|at| self.boot_time().since(at))
    }

    /// Announces this start on the log, once.
    fn join_fleet(&self) {
        if self.join_submitted.replace(true) {
            return;
        }
        // A daemon that never joined has no claims that it could have forgotten.
        let known = self
            .state
            .borrow()
            .roster()
            .member(&self.settings.name)
            .is_some();
        self.is_first_start.set(!known);
        let join = ControlChange::Join {
            daemon: self.settings.name.clone(),
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        };
        self.writer.submit(Change::Control(join));
    }

    /// Whether `stream` has been read up to what was its end once.
    pub(crate) fn is_caught_up(&self, stream: Stream) -> bool {
        match stream {
            Stream::Catalogue => self.catalogue_read.get(),
            Stream::Control => self.control_read.get(),
        }
    }

    /// Brings the request path up to the folded state after records of `stream`.
    pub(crate) fn follow_state(&self, stream: Stream) {
        let pools_changed =
            self.routes
                .borrow_mut()
                .follow(&self.state.borrow(), &self.fleet, &self.escrow);
        if stream == Stream::Control {
            self.follow_roster();
        }
        // Edits of the catalogue are frequent and move no VM.
        if pools_changed || stream == Stream::Control {
            self.follow_inventory(&TouchedPools::All);
        }
    }

    /// Takes over which starts of the daemons count.
    fn follow_roster(&self) {
        let state = self.state.borrow();
        let roster = state.roster();
        self.escrow
            .borrow_mut()
            .update_roster(roster, self.boot_time());
        let is_current = roster.is_current(&self.settings.name, self.incarnation);
        if is_current && self.is_first_start.get() {
            self.claims.borrow_mut().set_complete();
        }
    }

    /// Brings the targets of the `touched` pools up to the VM list and the VMs' moves.
    pub(crate) fn follow_inventory(&self, touched: &TouchedPools) {
        if touched.is_empty() {
            return;
        }
        if touched.contains(&self.settings.platform.entry_pool) {
            follow_members(self);
        }
        let routes = self.routes.borrow();
        let state = self.state.borrow();
        let mut listed = self.inventory.borrow().members(touched, &state);
        for pool in &routes.pools {
            if !touched.contains(&pool.id) {
                continue;
            }
            let found = listed.binary_search_by(|members| members.pool.cmp(&pool.id));
            let members = match found {
                Ok(index) => std::mem::take(&mut listed[index].members),
                Err(_) => Vec::new(),
            };
            pool.table.borrow_mut().set_members(members);
            pool.waiters.wake_first();
        }
    }

    /// The queue called `id`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NotReady`] before there is a configuration, [`ResultCode::UnknownQueue`]
    /// if it has no such queue.
    pub(crate) fn queue(&self, id: &str) -> Result<Rc<QueueRuntime>, ResultCode> {
        let routes = self.routes.borrow();
        match routes.queue(id) {
            // Half a configuration may have a VM in the wrong pool, or a withdrawn key.
            _ if !self.has_configuration() => Err(ResultCode::NotReady),
            Some(queue) => Ok(Rc::clone(queue)),
            None => Err(ResultCode::UnknownQueue),
        }
    }

    /// The team that a request with `key` speaks for; none on an open queue without a key.
    ///
    /// # Errors
    ///
    /// The code of the refusal.
    pub(crate) fn authorize(
        &self,
        queue: &QueueRuntime,
        key: Option<&str>,
    ) -> Result<Option<TeamId>, ResultCode> {
        let key = match key {
            None if queue.settings.open => return Ok(None),
            None => return Err(ResultCode::NoKey),
            Some(key) => key,
        };
        let state = self.state.borrow();
        match state.authenticate(key) {
            Ok(key) if queue.takes(&key.team) => Ok(Some(key.team.clone())),
            Ok(_) => Err(ResultCode::ForeignTeam),
            Err(AuthenticationError::Withdrawn) => Err(ResultCode::WithdrawnKey),
            Err(_) => Err(ResultCode::WrongKey),
        }
    }

    /// The units of a team.
    pub(crate) fn team(&self, id: &TeamId) -> Option<Rc<TeamRuntime>> {
        self.routes.borrow().team(id).cloned()
    }
}
