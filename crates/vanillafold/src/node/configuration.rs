//! Applies the folded log to a node: how far each stream was read, and the update of routes,
//! targets and the escrow after new records.

use std::rc::Rc;

use log::error;
use vanillafold_state::{
    AuthenticationError, BootMillis, ControlChange, SnapshotError, State, Stream,
};
use vanillafold_types::{Millis, ResultCode, TeamId};

use super::{Node, QueueRuntime, TeamRuntime};
use crate::append::Change;
use crate::follow::TouchedPools;
use crate::peer::update_members;

impl Node {
    /// Returns whether the daemon can serve requests: it has a configuration and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_configuration() && !self.draining.is_set()
    }

    /// Returns whether both streams have been read up to their ends.
    pub(crate) fn has_configuration(&self) -> bool {
        self.is_caught_up(Stream::Catalogue) && self.is_caught_up(Stream::Control)
    }

    /// Records that a read by this daemon or a peer that began at `began_at` reached the end of
    /// `stream`, and that all its records are folded.
    pub(crate) fn note_caught_up(&self, stream: Stream, began_at: BootMillis) {
        let mut freshness = self.freshness.get();
        match stream {
            Stream::Catalogue => {
                self.catalogue_caught_up.set(true);
                freshness.catalogue_at = freshness.catalogue_at.max(Some(began_at));
            }
            Stream::Control => {
                self.control_caught_up.set(true);
                freshness.control_at = freshness.control_at.max(Some(began_at));
                self.join_fleet(Some(began_at));
            }
        }
        self.freshness.set(freshness);
        if let (Some(catalogue_at), Some(control_at)) =
            (freshness.catalogue_at, freshness.control_at)
        {
            let at = catalogue_at.min(control_at);
            self.escrow.borrow_mut().mark_fresh(at);
        }
    }

    /// Records that the platform has dropped the next records of `stream`. The daemon is not ready
    /// until it has a later state.
    pub(crate) fn note_records_dropped(&self, stream: Stream) {
        self.recovery.note_dropped(stream);
        match stream {
            Stream::Catalogue => self.catalogue_caught_up.set(false),
            Stream::Control => self.control_caught_up.set(false),
        }
    }

    /// Merges each stream's part of `state` that is later than that of the current state.
    ///
    /// # Errors
    ///
    /// The errors of [`State::merge`].
    pub(crate) fn merge_state(&self, state: State) -> Result<(), SnapshotError> {
        self.state.borrow_mut().merge(state)?;
        let state = self.state.borrow();
        self.recovery.snapshot_tracker.borrow_mut().note_merged(
            state.next_offset(Stream::Catalogue),
            state.next_offset(Stream::Control),
            self.boot_time(),
        );
        drop(state);
        self.update_from_state(Stream::Control);
        Ok(())
    }

    /// Records that the state of a ready peer was merged. The state does not tell how fresh it is;
    /// the records that peers send do.
    pub(crate) fn note_state_from_peer(&self) {
        self.catalogue_caught_up.set(true);
        self.control_caught_up.set(true);
        self.join_fleet(None);
    }

    /// Returns the time since the start of the last read that reached the end of `stream`; `None`
    /// if none has.
    pub(crate) fn fresh_age(&self, stream: Stream) -> Option<Millis> {
        let freshness = self.freshness.get();
        let at = match stream {
            Stream::Catalogue => freshness.catalogue_at,
            Stream::Control => freshness.control_at,
        };
        at.map(|at| self.boot_time().since(at))
    }

    /// Refuses new requests and stops the daemon, because another process has used its name and
    /// incarnation: the rights of the two could not be told apart.
    pub(crate) fn note_shared_identity(&self) {
        self.shares_identity.set(true);
        self.superseded.set();
    }

    /// Submits the join record of this incarnation to the log, once. `read_at` is when the read of
    /// the control stream began that reached its end, if there was one.
    fn join_fleet(&self, read_at: Option<BootMillis>) {
        if self.shares_identity.get() || self.join_submitted.replace(true) {
            return;
        }
        // A daemon that has never joined cannot have lost claims in a restart. An older state may
        // lack the join of an earlier incarnation.
        let is_read_since_start = read_at.is_some_and(|at| at >= self.started_at);
        let is_known = self
            .state
            .borrow()
            .roster()
            .member(&self.settings.name)
            .is_some();
        self.is_first_incarnation
            .set(is_read_since_start && !is_known);
        let join = ControlChange::Join {
            daemon: self.settings.name.clone(),
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        };
        self.writer.submit(Change::Control(join));
    }

    /// Returns whether `stream` was read up to its end once, or came with the state of a ready
    /// peer, since the platform was last found to have dropped its next records.
    pub(crate) fn is_caught_up(&self, stream: Stream) -> bool {
        match stream {
            Stream::Catalogue => self.catalogue_caught_up.get(),
            Stream::Control => self.control_caught_up.get(),
        }
    }

    /// Updates routes, escrow and targets from the folded state after new records of `stream`.
    pub(crate) fn update_from_state(&self, stream: Stream) {
        let pools_changed =
            self.routes
                .borrow_mut()
                .update(&self.state.borrow(), &self.fleet, &self.escrow);
        self.report_evacuations();
        if stream == Stream::Control {
            self.update_from_roster();
        }
        // Edits of the catalogue are frequent and do not move VMs between pools.
        if pools_changed || stream == Stream::Control {
            self.update_targets(&TouchedPools::All);
        }
    }

    /// Updates the escrow with the current incarnations of all daemons. Marks the claims complete
    /// if this incarnation is current and the daemon's first. An incarnation that has joined before
    /// this process did is another process's, so that this one has no right to its units.
    fn update_from_roster(&self) {
        let state = self.state.borrow();
        let roster = state.roster();
        let latest = roster.member(&self.settings.name);
        let has_joined = latest.is_some_and(|member| member.incarnation >= self.incarnation);
        if has_joined && !self.join_submitted.get() {
            error!("another process of this daemon has this or a later incarnation; stopping");
            self.note_shared_identity();
            return;
        }
        self.escrow
            .borrow_mut()
            .update_roster(roster, self.boot_time());
        let is_current = roster.is_current(&self.settings.name, self.incarnation);
        if is_current && self.is_first_incarnation.get() {
            self.claims.borrow_mut().set_complete();
        }
    }

    /// Sets the targets of the `touched` pools from the VM list and the VMs' moves between pools.
    pub(crate) fn update_targets(&self, touched: &TouchedPools) {
        if touched.is_empty() {
            return;
        }
        if touched.contains(&self.settings.platform.entry_pool) {
            update_members(self);
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

    /// Returns the queue called `id`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NotReady`] before there is a configuration, [`ResultCode::Stopping`] if another
    /// process has used this one's identity, [`ResultCode::UnknownQueue`] if the configuration has
    /// no such queue.
    pub(crate) fn queue(&self, id: &str) -> Result<Rc<QueueRuntime>, ResultCode> {
        let routes = self.routes.borrow();
        match routes.queue(id) {
            // A configuration read only in part may have a VM in the wrong pool or accept a
            // withdrawn key.
            _ if !self.has_configuration() => Err(ResultCode::NotReady),
            _ if self.shares_identity.get() => Err(ResultCode::Stopping),
            Some(queue) => Ok(Rc::clone(queue)),
            None => Err(ResultCode::UnknownQueue),
        }
    }

    /// Returns the team that `key` belongs to; `None` for a request without a key on an open queue.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NoKey`], [`ResultCode::WrongKey`] or [`ResultCode::WithdrawnKey`] if the key
    /// does not authenticate, [`ResultCode::ForeignTeam`] if its team may not use the queue.
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
            Ok(key) if queue.accepts_team(&key.team) => Ok(Some(key.team.clone())),
            Ok(_) => Err(ResultCode::ForeignTeam),
            Err(AuthenticationError::Withdrawn) => Err(ResultCode::WithdrawnKey),
            Err(_) => Err(ResultCode::WrongKey),
        }
    }

    /// Returns the runtime state of a team; `None` if the catalogue has no such team.
    pub(crate) fn team(&self, id: &TeamId) -> Option<Rc<TeamRuntime>> {
        self.routes.borrow().team(id).cloned()
    }
}
