//! The part of each team's limit that this daemon may use.

use vanillafold_types::{DaemonId, Incarnation, Millis, TeamId};

use super::book::{Book, Rights};
use super::standing::{Member, OwnStanding, Standing, Takeover, takeovers};
use super::unit::UnitSource;
use super::{BootMillis, EscrowSettings, NoUnit, TeamLimit};
use crate::table::SortedVec;
use crate::{ControlChange, Roster};

/// The part of each team's limit that this daemon may use.
///
/// Every time is one of this VM's clock, suspended time included. The caller
/// reads the log, tells [`Escrow::update_roster`] and [`Escrow::set_limits`] what came, and only then
/// [`Escrow::mark_fresh`]; it carries messages to and from [`Escrow::receive`] and calls
/// [`Escrow::tick`] ten times a second.
#[derive(Debug)]
pub struct Escrow {
    pub(super) own: Member,
    pub(super) incarnation: Incarnation,
    pub(super) fleet: Vec<DaemonId>,
    pub(super) settings: EscrowSettings,
    pub(super) standings: Vec<Standing>,
    pub(super) own_standing: OwnStanding,
    pub(super) takeovers: Vec<Takeover>,
    pub(super) is_leaving: bool,
    pub(super) fresh_at: Option<BootMillis>,
    pub(super) books: SortedVec<Book>,
}

impl Escrow {
    /// The escrow of the daemon `own`, which is added to `fleet` if it isn't there.
    ///
    /// `fleet` must be the same in every daemon, and `incarnation` must differ from that of every
    /// other start of this daemon: two starts with one incarnation together exceed limits.
    #[must_use]
    pub fn new(
        own: &DaemonId,
        incarnation: Incarnation,
        mut fleet: Vec<DaemonId>,
        settings: EscrowSettings,
    ) -> Self {
        fleet.push(own.clone());
        fleet.sort();
        fleet.dedup();
        let index = fleet.binary_search(own).unwrap_or(0);
        Self {
            own: Member(u16::try_from(index).unwrap_or(u16::MAX)),
            incarnation,
            standings: vec![Standing::default(); fleet.len()],
            own_standing: OwnStanding::default(),
            takeovers: Vec::new(),
            fleet,
            settings,
            is_leaving: false,
            fresh_at: None,
            books: SortedVec::default(),
        }
    }

    /// Takes over the limits of all teams; a team that is not among them has the limit 0.
    pub fn set_limits(&mut self, limits: &[TeamLimit]) {
        for TeamLimit { team, .. } in limits {
            self.books
                .get_or_insert_with(team, || Book::new(team.clone()));
        }
        for book in self.books.iter_mut() {
            let limit = limits
                .iter()
                .find(|entry| entry.team == book.team)
                .map(|entry| entry.limit)
                .unwrap_or_default();
            if limit != book.limit {
                book.set_limit(limit, self.own, self.fleet.len(), &self.settings);
                book.set_taken_over(&self.takeovers, self.fleet.len(), &self.settings);
            }
        }
    }

    /// Notes that both streams were read up to their tails, and what they brought was told to
    /// this escrow, by reads that began no earlier than `at`.
    pub fn mark_fresh(&mut self, at: BootMillis) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Notes what a peer said of its own freshness: [`Escrow::fresh_age`] when it answered a
    /// question that was sent no earlier than `asked_at`. It counts only if this escrow was told
    /// everything that the peer had read of both streams by then. A word that wasn't asked for has
    /// an unknown delay and must not be passed on.
    pub fn mark_fresh_from_peer(&mut self, asked_at: BootMillis, age: Millis) {
        let age = self.settings.with_drift(age.get());
        if let Some(at) = asked_at.before(age) {
            self.mark_fresh(at);
        }
    }

    /// How long ago the reads began that made this daemon fresh; `None` if it isn't.
    #[must_use]
    pub fn fresh_age(&self, now: BootMillis) -> Option<Millis> {
        self.fresh_at
            .filter(|_| self.is_fresh(now))
            .map(|at| now.since(at))
    }

    /// Whether the log was read to its tail lately enough.
    #[must_use]
    pub fn is_fresh(&self, now: BootMillis) -> bool {
        self.fresh_at
            .is_some_and(|at| now.since(at) < self.settings.fence_ms)
    }

    /// Whether a later start of this daemon counts, or this one was fenced.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.own_standing.is_superseded()
    }

    /// Reads which starts of the daemons count. To be called whenever the control stream has
    /// brought something.
    pub fn update_roster(&mut self, roster: &Roster, now: BootMillis) {
        let own = &self.fleet[self.own.index()];
        self.own_standing.read(own, self.incarnation, roster, now);
        for (daemon, standing) in self.fleet.iter().zip(&mut self.standings) {
            standing.read(daemon, roster, now);
        }
        for book in self.books.iter_mut() {
            for lent in book.lent.iter_mut() {
                let standing = self.standings[lent.key.member.index()];
                if lent.closed_since.is_none() && !standing.is_current(lent.key.incarnation) {
                    lent.closed_since = Some(now);
                }
            }
            for loan in book.borrowed.iter_mut() {
                let standing = self.standings[loan.key.member.index()];
                loan.is_closed |= !standing.is_current(loan.key.incarnation);
            }
        }
        self.find_takeovers(now);
    }

    /// Takes a unit of a team for work that starts now. To be called right before the work's
    /// first byte is sent, with nothing that waits in between.
    ///
    /// # Errors
    ///
    /// A [`NoUnit`] if the work must not start.
    pub fn try_take(&mut self, team: &TeamId, now: BootMillis) -> Result<UnitSource, NoUnit> {
        let rights = self.rights(now)?;
        if rights.is_leaving {
            return Err(NoUnit::Leaving);
        }
        let Some(book) = self.books.get_mut(team) else {
            return Err(NoUnit::UnknownTeam);
        };
        let reserved = book.reserved(&self.settings, now);
        let wanted = book.demand(&self.settings, now);
        let taken = book.take(rights, reserved, self.fleet.len());
        match taken {
            Ok(_) if wanted > 0 => book.set_demand(wanted - 1, now),
            Err(_) => book.set_demand(wanted.max(1), now),
            Ok(_) => {}
        }
        book.check();
        taken
    }

    /// Says how many requests of a team wait for a unit, so that as many are borrowed. It counts
    /// for [`EscrowSettings::borrow_retry_ms`].
    pub fn set_demand(&mut self, team: &TeamId, waiting: u32, now: BootMillis) {
        if let Some(book) = self.books.get_mut(team) {
            book.set_demand(waiting, now);
        }
    }

    /// Gives a unit back: its target has answered, or its deadline and the linger time are over.
    ///
    /// # Panics
    ///
    /// If the unit was taken from another escrow or for another team.
    pub fn give_back(&mut self, team: &TeamId, unit: UnitSource) {
        let book = self
            .books
            .get_mut(team)
            .expect("a team that had units has a book");
        let UnitSource(source) = unit;
        book.give_back(&source);
        book.check();
    }

    /// Begins a planned stop: nothing starts any more, and everything lent or borrowed goes back.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// The record by which a daemon that [leaves](Self::leave) says so, as soon as it may:
    /// nothing is in use, lent or borrowed, and no handover from an earlier start is under way.
    /// The next start then has everything at once. If the daemon can't wait for it, it just stops.
    #[must_use]
    pub fn leave_record(&self, now: BootMillis) -> Option<ControlChange> {
        let rights = self.rights(now).ok()?;
        let is_clear =
            rights.is_leaving && rights.is_surplus_open && self.books.iter().all(Book::is_clear);
        is_clear.then(|| ControlChange::Leave {
            daemon: self.fleet[self.own.index()].clone(),
            incarnation: self.incarnation,
            is_floor_settled: rights.is_floor_open,
        })
    }

    /// What this daemon may do now.
    pub(super) fn rights(&self, now: BootMillis) -> Result<Rights, NoUnit> {
        match self.own_standing {
            standing if standing.is_superseded() => Err(NoUnit::Superseded),
            standing if !standing.is_joined() => Err(NoUnit::NotJoined),
            standing => Ok(Rights {
                is_fresh: self.is_fresh(now),
                is_surplus_open: standing.is_surplus_open(&self.settings, now),
                is_floor_open: standing.is_floor_open(&self.settings, now),
                is_leaving: self.is_leaving,
            }),
        }
    }

    /// Works out whose surplus falls to this daemon.
    pub(super) fn find_takeovers(&mut self, now: BootMillis) {
        let found = takeovers(self.own, &self.standings, &self.settings, now);
        if found == self.takeovers {
            return;
        }
        self.takeovers = found;
        for book in self.books.iter_mut() {
            book.set_taken_over(&self.takeovers, self.fleet.len(), &self.settings);
        }
    }
}
