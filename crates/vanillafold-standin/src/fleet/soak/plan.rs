//! Series of faults that depend only on a seed.

use crate::fleet::network::Link;
use crate::fleet::relay::{Gate, Gates};
use crate::fleet::runner::RunnerFault;
use crate::fleet::store::{StoreCall, StoreEffect};
use crate::process::Random;

/// Usual pauses between the beginnings of two faults, of which each series has one.
const MEAN_PAUSES_MS: [f64; 3] = [300.0, 700.0, 1_500.0];
/// The rejections of a store that turns daemons away.
const REJECTIONS: [StoreEffect; 4] = [
    StoreEffect::Refuse(503),
    StoreEffect::Refuse(429),
    StoreEffect::Close,
    StoreEffect::Silence,
];

/// Registrations that name no runner to use.
pub(super) const ODD_REGISTRATIONS: [&str; 4] = [
    "{\"service\":7,\"address\":true}",
    "not json \u{1}",
    "{\"service\":\"elsewhere\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\"}",
    "{\"service\":\"workers\",\"address\":\"127.0.0.1:9\",\"state\":\"asleep\",\"born\":1}",
];

/// The daemon that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Victim {
    /// The one that owns the shard when the fault begins.
    Owner,
    /// The one with this index.
    Daemon(usize),
}

/// What happens on the connections of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkFault {
    /// The bytes of all connections pass as the gates say.
    Gates(Gates),
    /// The open connections go silent for good.
    Silence,
    /// Nothing passes, and new connections are not established.
    Cut,
    /// The open connections are reset.
    Reset,
    /// Bytes are under way for this long.
    DelayMs(u64),
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// A daemon is suspended and resumed.
    Suspend(Victim),
    /// A daemon is killed and started again.
    Kill(Victim),
    /// A daemon is told to exit and started again.
    Terminate(Victim),
    /// The connections of a daemon are disturbed.
    Link(Victim, Link, LinkFault),
    /// The store treats calls of a daemon, or of all, differently.
    Store(Option<Victim>, Option<StoreCall>, StoreEffect),
    /// The store is down; the times of its groups may pause.
    StoreDown(StoreEffect, bool),
    /// A runner treats orders differently.
    RunnerOrders(usize, RunnerFault),
    /// A runner crashes and comes back.
    RunnerCrash(usize),
    /// Callers submit this many jobs at once.
    Burst(u64),
    /// A registration of a runner that makes no sense appears and disappears.
    OddRegistration(usize),
}

impl FaultKind {
    /// Returns the name by which faults of this kind are counted.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Suspend(_) => "suspend",
            Self::Kill(_) => "kill",
            Self::Terminate(_) => "terminate",
            Self::Link(_, Link::Peers | Link::Owner, _) => "peer-link",
            Self::Link(_, Link::Store, _) => "store-link",
            Self::Link(_, Link::Runners, _) => "runner-link",
            Self::Store(..) => "store",
            Self::StoreDown(..) => "store-down",
            Self::RunnerOrders(..) => "runner-orders",
            Self::RunnerCrash(_) => "runner-crash",
            Self::Burst(_) => "burst",
            Self::OddRegistration(_) => "odd-registration",
        }
    }
}

/// A fault of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlannedFault {
    /// When it begins, since the series began.
    pub(super) at_ms: u64,
    /// How long it lasts.
    pub(super) lasts_ms: u64,
    /// What goes wrong.
    pub(super) kind: FaultKind,
}

/// Draws a series of faults that ends after `total_ms` at the latest.
pub(super) fn plan(
    random: &mut Random,
    total_ms: u64,
    daemons: usize,
    runners: usize,
) -> Vec<PlannedFault> {
    let mean_ms = MEAN_PAUSES_MS[index(random, MEAN_PAUSES_MS.len())];
    let mut faults = Vec::new();
    let mut at_ms = 500;
    while at_ms < total_ms {
        let kind = kind(random, daemons, runners);
        let lasts_ms = match kind {
            FaultKind::Kill(_) | FaultKind::Terminate(_) => random.between(100..=1_500),
            FaultKind::StoreDown(..) => random.between(500..=5_000),
            _ => random.between(300..=4_000),
        };
        faults.push(PlannedFault {
            at_ms,
            lasts_ms: lasts_ms.min(total_ms - at_ms),
            kind,
        });
        // A tenth of the faults begin with the next one.
        if !random.next_bool(0.1) {
            at_ms += (random.exponential() * mean_ms) as u64;
        }
    }
    faults
}

fn kind(random: &mut Random, daemons: usize, runners: usize) -> FaultKind {
    let victim = match random.next_bool(0.5) {
        true => Victim::Owner,
        false => Victim::Daemon(index(random, daemons)),
    };
    match random.between(0..=99) {
        0..=17 => FaultKind::Suspend(victim),
        18..=25 => FaultKind::Kill(victim),
        26..=31 => FaultKind::Terminate(victim),
        32..=40 => FaultKind::Link(victim, Link::Peers, link_fault(random)),
        41..=49 => {
            let victim = Victim::Daemon(index(random, daemons));
            FaultKind::Link(victim, Link::Owner, link_fault(random))
        }
        50..=54 => FaultKind::Link(victim, Link::Store, link_fault(random)),
        55..=60 => FaultKind::Link(victim, Link::Runners, link_fault(random)),
        61..=76 => store_fault(random, victim),
        77..=80 => {
            let effect = REJECTIONS[index(random, REJECTIONS.len())];
            FaultKind::StoreDown(effect, random.next_bool(0.5))
        }
        81..=86 => {
            let fault = match random.next_bool(0.5) {
                true => RunnerFault::LoseAnswers,
                false => RunnerFault::ActLate(random.between(500..=6_000)),
            };
            FaultKind::RunnerOrders(index(random, runners), fault)
        }
        87..=88 => FaultKind::RunnerCrash(index(random, runners)),
        89..=97 => FaultKind::Burst(random.between(100..=250)),
        _ => FaultKind::OddRegistration(index(random, ODD_REGISTRATIONS.len())),
    }
}

fn link_fault(random: &mut Random) -> LinkFault {
    let held = Gates::both(Gate::Held);
    let open = Gate::Open;
    match random.between(0..=7) {
        0..=1 => LinkFault::Gates(held),
        2 => LinkFault::Gates(Gates {
            forward: open,
            ..held
        }),
        3 => LinkFault::Gates(Gates { back: open, ..held }),
        4 => LinkFault::Silence,
        5 => LinkFault::Cut,
        6 => LinkFault::Reset,
        _ => LinkFault::DelayMs(random.between(50..=1_500)),
    }
}

fn store_fault(random: &mut Random, victim: Victim) -> FaultKind {
    let victim = random.next_bool(0.6).then_some(victim);
    let call = match random.between(0..=4) {
        0..=1 => Some(StoreCall::Append),
        2 => Some(StoreCall::Membership),
        3 => Some(StoreCall::Read),
        _ => None,
    };
    let effect = match random.between(0..=4) {
        0..=1 => REJECTIONS[index(random, REJECTIONS.len())],
        2 => StoreEffect::AnswerLate(random.between(100..=2_000)),
        3 => StoreEffect::DoLate(0),
        _ => StoreEffect::DoLate(random.between(1_000..=6_000)),
    };
    FaultKind::Store(victim, call, effect)
}

fn index(random: &mut Random, length: usize) -> usize {
    let last = u64::try_from(length.saturating_sub(1)).unwrap_or(u64::MAX);
    usize::try_from(random.between(0..=last)).unwrap_or(0)
}
