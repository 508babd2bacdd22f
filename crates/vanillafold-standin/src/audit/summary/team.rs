//! The peak load and share of full pools of each team.

use std::fmt;

use serde::Serialize;

use crate::audit::SettleTime;
use crate::audit::invariants::team_peaks;
use crate::audit::recording::Recording;

use super::full_pool_usage::FullPoolUsage;

/// A team's peak of running requests and its share of full pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamSummary {
    /// The team's name.
    pub team: String,
    /// The largest number of requests that it had running at one time.
    pub most_running: u32,
    /// Its limit at the time of that peak, if one was known.
    pub limit: Option<u32>,
    /// Its share of the slot time of full pools, in tenths of a percent; `None` if no pool was
    /// full.
    pub share_when_full_permille: Option<u64>,
}

impl TeamSummary {
    /// Returns the summaries of all teams that had work, in alphabetical order.
    pub(super) fn all(recording: &Recording, settle: SettleTime) -> Vec<Self> {
        let full = FullPoolUsage::of(recording);
        let peaks = team_peaks(recording, settle);
        let teams = recording.names.sorted().iter();
        let summaries = teams.filter_map(|team| {
            let peak = peaks.get(*team)?;
            let full_us = full.by_team.get(*team).copied().unwrap_or(0);
            Some(Self {
                team: recording.name_text(*team).to_owned(),
                most_running: peak.most_running,
                limit: peak.limit,
                share_when_full_permille: (full_us * 1000).checked_div(full.total_us),
            })
        });
        summaries.collect()
    }
}

impl fmt::Display for TeamSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "team {} most_running={}", self.team, self.most_running)?;
        if let Some(limit) = self.limit {
            write!(f, " limit={limit}")?;
        }
        if let Some(permille) = self.share_when_full_permille {
            write!(f, " share_when_full={}.{}%", permille / 10, permille % 10)?;
        }
        Ok(())
    }
}
