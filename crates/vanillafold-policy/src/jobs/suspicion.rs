//! Suspicion: what to do with a task under which workers were lost.
//!
//! A task may crash each worker that starts it. When a worker is lost, any task that it had just
//! started may be the cause, so all of them are suspects. Started together again, they would share
//! the next loss too, and the cause could not be told from the others.

/// Number of losses from which a task is started apart from others that might cause a loss.
const ISOLATED_FROM_LOSSES: u32 = 2;
/// Number of losses right after a start from which the task is given up, if the newest is one of them
/// and has no other possible cause. The platform allows no fewer crashes.
const PROMPT_LOSSES_TO_GIVE_UP: u32 = 2;
/// The same for any losses, the newest without another possible cause; or for losses that have other
/// possible causes but came right after a start. The platform allows five starts if each crashes a
/// worker; one is left for a loss that a change of owner hides.
const MAX_LOSSES: u32 = 4;
/// How many of [`MAX_LOSSES`] losses with other possible causes have to come right after a start. An
/// owner that takes over cannot tell that of the loss before.
const MIN_PROMPT_OF_MAX_LOSSES: u32 = 3;
/// How long a task waits for evidence whether the newest lost worker has crashed, in milliseconds.
/// Crashed workers are usually back in this time.
const MAX_EVIDENCE_WAIT_MS: u64 = 2_000;
/// How long a task waits for a place apart from others, in milliseconds.
const MAX_ISOLATION_WAIT_MS: u64 = 4_000;

/// The workers that were lost under a task, or under any member of a gang.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LossHistory {
    /// Number of lost workers, without those that turned out to have been cut off only.
    pub losses: u32,
    /// Whether the newest lost worker has certainly crashed.
    pub newest_crashed: bool,
    /// Whether nothing but the task can have caused the newest loss.
    pub newest_alone: bool,
    /// Whether the lost workers ran on more than one VM: a worker that crashes again and again says
    /// more about its VM than about the task.
    pub several_vms: bool,
    /// Whether the newest lost worker had certainly started the task's run, and stopped answering
    /// right after that.
    pub newest_prompt: bool,
    /// Number of lost workers that did.
    pub prompt_losses: u32,
}

/// Where a waiting task may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectPlacement {
    /// On any worker.
    Unrestricted,
    /// On any worker, but rather on one with few tasks that a loss would harm.
    Spread,
    /// On a worker without fresh runs, which gets no other task while the task's run is fresh.
    Isolated,
    /// On any worker, which gets no other task while the task's run is fresh.
    IsolatedSoon,
    /// Not yet: whether the newest lost worker has crashed is not known.
    Held,
}

/// Returns whether a task is given up.
///
/// A task that only shared lost workers with others is not: its newest loss has another possible
/// cause, and started apart from others it survives.
#[must_use]
pub const fn is_given_up(history: LossHistory) -> bool {
    let is_proven = history.newest_crashed && history.newest_alone && history.several_vms;
    let is_likely = history.prompt_losses >= MIN_PROMPT_OF_MAX_LOSSES;
    match history {
        _ if history.losses >= MAX_LOSSES && is_likely => true,
        _ if !is_proven => false,
        _ if history.newest_prompt => history.prompt_losses >= PROMPT_LOSSES_TO_GIVE_UP,
        _ => history.losses >= MAX_LOSSES,
    }
}

/// Returns where a task that has waited for `waited_ms` may be started.
#[must_use]
pub const fn suspect_placement(history: LossHistory, waited_ms: u64) -> SuspectPlacement {
    match history.losses {
        0 => SuspectPlacement::Unrestricted,
        losses if losses < ISOLATED_FROM_LOSSES => SuspectPlacement::Spread,
        _ if waited_ms >= MAX_ISOLATION_WAIT_MS => SuspectPlacement::IsolatedSoon,
        _ if waited_ms < MAX_EVIDENCE_WAIT_MS && !history.newest_crashed => SuspectPlacement::Held,
        _ => SuspectPlacement::Isolated,
    }
}

impl SuspectPlacement {
    /// Returns whether any worker was lost under the task.
    #[must_use]
    pub const fn is_suspect(self) -> bool {
        !matches!(self, Self::Unrestricted)
    }

    /// Returns whether the task's worker gets no other task while the task's run is fresh.
    #[must_use]
    pub const fn is_isolated(self) -> bool {
        matches!(self, Self::Isolated | Self::IsolatedSoon)
    }
}
