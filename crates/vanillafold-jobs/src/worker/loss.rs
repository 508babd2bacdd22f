//! How the owner learns that a worker's runs are lost.

/// Evidence that the runs of a worker are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossEvidence {
    /// The worker has restarted under its id.
    Restarted,
    /// Another worker answers at its address.
    Replaced,
    /// The leases of a worker that does not answer have expired: it has crashed or is cut off.
    LeasesExpired,
}

impl LossEvidence {
    /// Returns the name used in log lines and as the label of a metric.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Replaced => "replaced",
            Self::LeasesExpired => "leases_expired",
        }
    }
}
