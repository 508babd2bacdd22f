//! Names in traces. They are recorded as observed: any text is valid.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self::from(text))
            }
        }
    };
}

name!(
    /// The name of a process: a daemon, a runner, a load generator or the script that operates the
    /// run. It is also the stem of the trace file's name.
    ProcessName
);
name!(
    /// The id of a request.
    RequestName
);
name!(
    /// The name of a queue.
    QueueName
);
name!(
    /// The name of a team.
    TeamName
);
name!(
    /// The id of a key, without its secret.
    KeyName
);
name!(
    /// The name of a VM.
    VmName
);
name!(
    /// The name of a pool.
    PoolName
);
