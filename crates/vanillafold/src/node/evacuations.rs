//! Tells operators which availability zones are evacuated, in log lines and a metric.

use log::info;
use vanillafold_state::WithRevision;
use vanillafold_types::ZoneId;

use super::Node;

impl Node {
    /// Logs the evacuations that were requested or withdrawn since the last call, and updates the
    /// metric. Targets and routes are updated already.
    pub(super) fn report_evacuations(&self) {
        let state = self.state.borrow();
        if state
            .evacuated_zones()
            .eq(self.logged_evacuations.borrow().iter())
        {
            return;
        }
        let zones: Vec<WithRevision<ZoneId>> = state.evacuated_zones().cloned().collect();
        self.counters.evacuated_zones.set(zones.len() as f64);
        let logged = self.logged_evacuations.replace(zones.clone());
        for zone in zones.iter().filter(|zone| !logged.contains(zone)) {
            let vms = self.inventory.borrow().count_in(&zone.value);
            info!(
                "evacuation of zone {} requested by catalogue record {}: its targets get no new \
                 requests; {vms} VMs are known there",
                zone.value, zone.revision
            );
        }
        for zone in logged.iter().map(|zone| &zone.value) {
            if state.evacuation(zone).is_none() {
                info!("evacuation of zone {zone} withdrawn: its targets get requests again");
            }
        }
    }
}
