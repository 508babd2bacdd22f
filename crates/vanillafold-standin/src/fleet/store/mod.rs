//! The stand-in for the platform's metadata store.

mod fault;
mod group;
mod service;
mod state;
mod topic;

pub use fault::{StoreCall, StoreEffect, StoreFault};
pub use service::Store;
