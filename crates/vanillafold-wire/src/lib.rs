//! Connections of vanillafold: HTTP/1.1 to callers and targets, the platform, peers.
//!
//! | edge | module |
//! |---|---|
//! | callers, targets, operators: HTTP/1.1 with bounded memory | [`http`] |
//! | the platform: log, VM list, VM operations, as traits | [`platform`] |

pub mod http;
pub mod platform;
