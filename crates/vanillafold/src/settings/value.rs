//! Values of settings whose own parsers don't report what they expect.

use std::net::SocketAddr;
use std::str::FromStr;

use log::LevelFilter;
use vanillafold_types::ParseValueError;

/// An IP address with a port.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Address(pub(crate) SocketAddr);

impl FromStr for Address {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseValueError {
            expected: "IP:PORT such as 10.0.0.1:7001".to_owned(),
            found: text.to_owned(),
        })
    }
}

/// The least severe level of log lines that are written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Level(pub(crate) LevelFilter);

impl FromStr for Level {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseValueError {
            expected: "off, error, warn, info, debug or trace".to_owned(),
            found: text.to_owned(),
        })
    }
}
