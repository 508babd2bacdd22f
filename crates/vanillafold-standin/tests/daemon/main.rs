//! Tests of the real programs as processes: one daemon, the stand-in platform, one stand-in runner
//! and `vanillafoldctl`, over raw sockets, so that malformed input can be sent.

mod answer;
mod body;
mod claim;
mod connection;
mod evacuation;
mod fixture;
mod framing;
mod head;
mod header;
mod key;
mod operator;
mod process;
mod settings;
