//! The HTTP pages for operators: health, metrics, state and the withdrawal of keys.

mod listener;
mod service;

pub(crate) use listener::serve_admin;
