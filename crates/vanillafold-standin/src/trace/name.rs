//! Names in traces, as they were seen: the audit takes any text.

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
            /// The name as text.
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
    /// A process: a daemon, a runner, a load or the script. It also names the trace's file.
    ProcessName
);
name!(
    /// A request id.
    RequestName
);
name!(
    /// A queue.
    QueueName
);
name!(
    /// A team.
    TeamName
);
name!(
    /// A key, without its secret.
    KeyName
);
name!(
    /// A VM.
    VmName
);
name!(
    /// A pool.
    PoolName
);
