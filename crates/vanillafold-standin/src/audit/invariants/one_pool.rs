//! Checks that each VM is in exactly one pool in every daemon's view of the VMs.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::Recording;
use crate::audit::{Finding, Invariant};

const IN_SEVERAL: &str = "in_several";
const IN_NONE: &str = "in_none";

pub(super) fn check(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::OnePool, &[IN_SEVERAL, IN_NONE]);
    let mut rows: Vec<_> = recording.rows.views.iter().collect();
    rows.sort();
    rows.dedup();
    let views = rows.chunk_by(|a, b| (a.process, a.at_us) == (b.process, b.at_us));
    let mut vms = 0;
    for lines in rows.chunk_by(|a, b| (a.process, a.at_us, a.vm) == (b.process, b.at_us, b.vm)) {
        vms += 1;
        let process = recording.name_text(lines[0].process);
        let vm = recording.name_text(lines[0].vm);
        match lines {
            [line] if line.pool.is_some() => {}
            [_] => finding.add_violation(IN_NONE, format_args!("{vm} at {process}")),
            _ => finding.add_violation(IN_SEVERAL, format_args!("{vm} at {process}")),
        }
    }
    finding.add_count("views", views.count() as u64);
    finding.add_count("vms", vms);
    finding.finish(vms)
}
