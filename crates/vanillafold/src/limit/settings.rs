//! Derives the escrow's settings from the daemon's.

use vanillafold_state::EscrowSettings;

use crate::settings::Settings;

/// Returns the escrow's settings. Those on which all daemons must agree come from the `[limits]`
/// section.
pub(crate) fn escrow_settings(settings: &Settings) -> EscrowSettings {
    EscrowSettings {
        fence_ms: settings.limits.fence_ms,
        longest_work_ms: settings.limits.longest_work_ms,
        floor: settings.limits.floor_percent,
        ..EscrowSettings::default()
    }
}
