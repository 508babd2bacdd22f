//! The traces of a whole run as sorted rows, with names as numbers so that they fit into memory.

mod exchange;
mod loader;
mod name_map;
mod names;
mod pool_state;
mod requests;
mod rows;
mod run;
mod timeline;
mod work;

pub(crate) use exchange::{Exchange, exchanges};
pub(crate) use name_map::NameMap;
pub(crate) use names::Name;
pub(crate) use pool_state::{PoolChange, PoolState, pool_changes};
pub(crate) use requests::Request;
pub(crate) use rows::{
    ConfigRow, EvacuationRow, ProcessRow, ProcessState, PublishedRow, ReceivedRow, SentRow,
    StartRow, VmRow, VmState,
};
pub(crate) use run::Recording;
pub(crate) use timeline::Timeline;
pub(crate) use work::work_intervals;
