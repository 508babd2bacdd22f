//! What organisations may use on workers that a new owner can't see yet.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::spec::Resources;

/// Time between two updates, in milliseconds. An update looks at all tasks that are not accounted
/// for.
const UPDATE_INTERVAL_MS: u64 = 100;

impl Shard {
    /// Updates what each organisation may use beside the tracked runs: its tasks that are not accounted
    /// for, as far as they fit on the workers that are not.
    pub(super) fn update_unaccounted_usage(&mut self, now: MonotonicMillis) {
        if !self.unaccounted {
            return self.unaccounted_usage.clear();
        }
        if now < self.next_unaccounted_update_at {
            return;
        }
        self.next_unaccounted_update_at = MonotonicMillis::new(now.get() + UPDATE_INTERVAL_MS);
        let mut usage: Vec<(String, Resources)> = Vec::new();
        for job in self.open.iter().filter_map(|id| self.job(*id)) {
            let used = match job.unaccounted {
                true => job.unaccounted_needs(),
                false => continue,
            };
            let organisation = job.spec.organisation.as_str();
            match usage.binary_search_by(|row| row.0.as_str().cmp(organisation)) {
                Ok(at) => usage[at].1.add(used),
                Err(at) => usage.insert(at, (organisation.to_owned(), used)),
            }
        }
        if let Some(capacity) = self.unaccounted_capacity() {
            for row in &mut usage {
                row.1 = row.1.min(capacity);
            }
        }
        self.unaccounted_usage = usage;
    }

    /// Returns the capacity of the VMs whose worker is not accounted for; `None` if not all VMs are
    /// known.
    fn unaccounted_capacity(&self) -> Option<Resources> {
        if !self.vms_listed || self.has_unreadable_vms {
            return None;
        }
        let mut capacity = Resources::default();
        for vm in self
            .vms
            .iter()
            .filter(|vm| !self.is_vm_worker_accounted(vm))
        {
            capacity.add(vm.capacity);
        }
        Some(capacity)
    }

    /// Returns what an organisation uses, or may use on workers that are not accounted for.
    pub(super) fn possible_usage(&self, organisation: &str) -> Resources {
        let mut used = self.usage(organisation);
        let found = self
            .unaccounted_usage
            .binary_search_by(|row| row.0.as_str().cmp(organisation));
        if let Ok(at) = found {
            used.add(self.unaccounted_usage[at].1);
        }
        used
    }
}
