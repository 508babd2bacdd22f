//! Reads the state pages of the daemons and records them in the trace for the audit.

use http::Method;

use super::layout::DaemonSpec;
use super::{Cluster, RigError};
use crate::trace::{Config, PoolOf, TraceEvent, monotonic_us};

/// What the state page of one daemon shows.
#[derive(Debug, Clone)]
pub struct DaemonView {
    /// The offset of the latest catalogue record in force; 0 if there is none.
    pub catalogue_offset: u64,
    /// All VMs on the page.
    pub vms: Vec<VmView>,
    /// The text of the page.
    pub page: String,
}

/// A VM on the state page of a daemon.
#[derive(Debug, Clone)]
pub struct VmView {
    /// The name of the VM.
    pub vm: String,
    /// The pool that the daemon has the VM in.
    pub pool: String,
}

/// Reads and records the state of daemons.
#[derive(Debug)]
pub struct Observer;

impl Observer {
    /// Reads the state page of a daemon.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the daemon does not answer.
    pub fn view(cluster: &Cluster, spec: &DaemonSpec) -> Result<DaemonView, RigError> {
        let page = cluster.call(Method::GET, spec.admin_address, "/state", "")?;
        let next: u64 = value(&page, "catalogue_next=")
            .and_then(|next| next.parse().ok())
            .unwrap_or(1);
        let vms = page.lines().filter_map(vm_view).collect();
        Ok(DaemonView {
            catalogue_offset: next.saturating_sub(1),
            vms,
            page,
        })
    }

    /// Records in the rig's trace what every running daemon that answers shows: the catalogue offset
    /// in force and the pool of each VM.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the trace can't be written. A daemon that does not answer is skipped.
    pub fn record_all(cluster: &mut Cluster) -> Result<(), RigError> {
        let specs: Vec<DaemonSpec> = cluster.running_daemons().cloned().collect();
        for spec in specs {
            let at_us = monotonic_us();
            let Ok(view) = Self::view(cluster, &spec) else {
                continue;
            };
            cluster.record(&TraceEvent::Config(Config {
                at_us,
                process: spec.name.as_str().into(),
                offset: view.catalogue_offset,
            }))?;
            for vm in view.vms {
                cluster.record(&TraceEvent::PoolOf(PoolOf {
                    at_us,
                    process: spec.name.as_str().into(),
                    vm: vm.vm.as_str().into(),
                    pool: Some(vm.pool.as_str().into()),
                }))?;
            }
        }
        Ok(())
    }
}

fn value<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    page.lines().find_map(|line| line.strip_prefix(name))
}

fn vm_view(line: &str) -> Option<VmView> {
    let rest = line.strip_prefix("vm ")?;
    let (vm, rest) = rest.split_once(' ')?;
    let pool = rest
        .split_whitespace()
        .find_map(|pair| pair.strip_prefix("pool="))?;
    Some(VmView {
        vm: vm.to_owned(),
        pool: pool.to_owned(),
    })
}
