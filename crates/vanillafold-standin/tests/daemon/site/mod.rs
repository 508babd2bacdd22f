//! Fixtures: the processes of a small deployment and the two ends of raw connections.

mod check;
mod gate;
mod place;
mod programs;
mod raw;
mod running;
mod target;

pub(crate) use check::{After, assert_refused, refusal_of};
pub(crate) use gate::Gate;
pub(crate) use place::{Place, PortHolder};
pub(crate) use programs::{program, standin};
pub(crate) use raw::{Answer, Raw, Reply, get, patient};
pub(crate) use running::{CATALOGUE, Site, SiteOptions, wait_until, write};
pub(crate) use target::{FakeTarget, Seen};
