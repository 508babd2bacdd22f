//! One daemon, the platform, one runner and the operators' tool as processes, with raw sockets.

mod answer;
mod body;
mod connection;
mod framing;
mod head;
mod header;
mod key;
mod operator;
mod process;
mod settings;
mod site;
