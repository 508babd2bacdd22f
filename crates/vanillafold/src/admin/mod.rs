//! The operators' side of a daemon: health, metrics, state.

mod listener;
mod service;

pub(crate) use listener::serve_admin;
