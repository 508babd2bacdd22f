//! The operator's requests to evacuate zones, what the present owner knows of them, and tasks that an
//! evacuation moves.

use std::collections::VecDeque;

use vanillafold_jobs::JobSpec;

use super::options::SimulationOptions;
use super::simulation::STEP_MS;
use crate::process::Random;

/// The longest time until the owner learns of a change, or a new owner of all requests: a daemon that
/// can't read the operator's records hears of them from another one with a ping, one per second.
const MAX_LEARNING_DELAY_MS: u64 = 1_000;
/// Text of a job with long tasks that write checkpoints.
pub(super) const CHECKPOINTING_TEXT: &str = "checkpointing";
/// Estimated duration of such a task.
const CHECKPOINTING_ESTIMATE_MS: u64 = 5_000;
/// Makes the random numbers of evacuations differ from those of the other faults of a seed.
const SEED_MASK: u64 = 0x6576_6163_7561_7465;

/// Requests to evacuate zones, which an owner learns of some time later.
///
/// Has random numbers of its own, so that the other faults of a seed are the same without evacuations.
#[derive(Debug)]
pub(super) struct Evacuations {
    random: Random,
    permille_per_s: u64,
    max_zones: usize,
    /// Whether the operator evacuates each zone.
    requested: Vec<bool>,
    /// The same as far as the present owner knows; `None` until it has read all requests.
    known: Option<Vec<bool>>,
    /// When the present owner reads all requests for the first time; `None` if it has done so.
    first_read_at_ms: Option<u64>,
    /// Later changes, with the time at which the owner learns of each.
    unread: VecDeque<(u64, Vec<bool>)>,
}

impl Evacuations {
    pub(super) fn new(seed: u64, options: &SimulationOptions) -> Self {
        Self {
            random: Random::new(seed ^ SEED_MASK),
            permille_per_s: options.evacuation_permille_per_s,
            max_zones: options.max_evacuated_zones,
            requested: vec![false; options.zones],
            known: None,
            first_read_at_ms: None,
            unread: VecDeque::new(),
        }
    }

    /// Makes a job one that an evacuation may move tasks of: limits how many tasks of a persistent step
    /// may be unavailable, and lets others write checkpoints.
    pub(super) fn vary_job(&mut self, spec: &mut JobSpec) {
        if self.permille_per_s == 0 {
            return;
        }
        let [step, ..] = spec.steps.as_mut_slice() else {
            return;
        };
        let draw = self.random.between(0..=7);
        match step.persistent {
            true => step.max_unavailable = [None, Some(1), Some(1), Some(2)][(draw % 4) as usize],
            false if draw < 2 && spec.text == "work" => {
                step.gang = false;
                step.checkpointing = true;
                step.estimate_ms = CHECKPOINTING_ESTIMATE_MS;
                spec.steps.truncate(1);
                spec.text = CHECKPOINTING_TEXT.to_owned();
            }
            false => {}
        }
    }

    /// Begins or ends evacuations at random.
    pub(super) fn begin_and_end(&mut self, now_ms: u64) {
        if self.permille_per_s == 0 {
            return;
        }
        for zone in 0..self.requested.len() {
            if self.random.next_u64() % (1_000 * 1_000 / STEP_MS) >= self.permille_per_s {
                continue;
            }
            let evacuated = self.requested.iter().filter(|zone| **zone).count();
            if !self.requested[zone] && evacuated == self.max_zones {
                continue;
            }
            self.requested[zone] ^= true;
            self.announce(now_ms);
            // The operator repeats some requests.
            if self.random.next_bool(0.25) {
                self.announce(now_ms);
            }
        }
    }

    /// Ends all evacuations.
    pub(super) fn end_all(&mut self, now_ms: u64) {
        if self.requested.contains(&true) {
            self.requested.fill(false);
            self.announce(now_ms);
        }
    }

    /// Lets the owner learn of the requests as they are now. It learns of changes in their order.
    fn announce(&mut self, now_ms: u64) {
        let at_ms = self.learning_time_ms(now_ms);
        let after_ms = self.unread.back().map_or(0, |row| row.0);
        self.unread
            .push_back((at_ms.max(after_ms), self.requested.clone()));
    }

    fn learning_time_ms(&mut self, now_ms: u64) -> u64 {
        match self.permille_per_s {
            0 => now_ms,
            _ => now_ms + self.random.between(0..=MAX_LEARNING_DELAY_MS),
        }
    }

    /// Forgets what the owner knew, which is lost or has been replaced by a new one.
    pub(super) fn begin_ownership(&mut self, now_ms: u64) {
        self.known = None;
        self.first_read_at_ms = Some(self.learning_time_ms(now_ms));
    }

    /// Returns the evacuated zones if the owner learns of them, or of a change, at `now_ms`.
    pub(super) fn learn(&mut self, now_ms: u64) -> Option<Vec<String>> {
        if self.known.is_none() {
            self.first_read_at_ms.take_if(|at_ms| *at_ms <= now_ms)?;
            self.unread.clear();
            self.known = Some(self.requested.clone());
        } else {
            let unread = self.unread.partition_point(|row| row.0 <= now_ms);
            self.known = Some(self.unread.drain(..unread).next_back()?.1);
        }
        let zones = self.known.iter().flatten().enumerate();
        let evacuated = zones.filter(|(_, evacuated)| **evacuated);
        Some(evacuated.map(|(zone, _)| zone_name(zone)).collect())
    }

    /// Returns whether the present owner may start tasks in a zone, by what it knows.
    pub(super) fn allow_start(&self, zone: usize) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|evacuated| !evacuated[zone])
    }
}

/// Returns the name of a zone.
pub(super) fn zone_name(number: usize) -> String {
    match number {
        0 => "zone".to_owned(),
        number => format!("zone{number}"),
    }
}
