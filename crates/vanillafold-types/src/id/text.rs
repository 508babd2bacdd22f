//! Text identifiers: short, printable, cheap to clone.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bincode::{BorrowDecode, Decode, Encode};

/// Longest identifier, in characters.
pub const MAX_ID_CHARS: usize = 64;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum IdError {
    /// The text is empty.
    #[error("expected 1 to {MAX_ID_CHARS} characters, found none")]
    Empty,
    /// The text is longer than [`MAX_ID_CHARS`].
    #[error("expected 1 to {MAX_ID_CHARS} characters, found {chars}")]
    TooLong {
        /// Its length in characters.
        chars: usize,
    },
    /// A character is not allowed.
    #[error("expected letters, digits and {allowed}, found {found:?}")]
    InvalidCharacter {
        /// The first character that is not allowed.
        found: char,
        /// The punctuation that is allowed.
        allowed: &'static str,
    },
}

fn check(text: &str, allowed: &'static str) -> Result<(), IdError> {
    let chars = text.chars().count();
    match chars {
        0 => return Err(IdError::Empty),
        _ if chars > MAX_ID_CHARS => return Err(IdError::TooLong { chars }),
        _ => {}
    }
    let wrong = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !allowed.contains(*c));
    match wrong {
        Some(found) => Err(IdError::InvalidCharacter { found, allowed }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $allowed:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
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

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check(text, $allowed)?;
                Ok(Self(Arc::from(text)))
            }
        }

        // Decoding checks as parsing does: a record from the log is not trusted.
        impl<Context> Decode<Context> for $name {
            fn decode<D: bincode::de::Decoder<Context = Context>>(
                decoder: &mut D,
            ) -> Result<Self, bincode::error::DecodeError> {
                let text = String::decode(decoder)?;
                text.parse()
                    .map_err(|error: IdError| bincode::error::DecodeError::OtherString(error.to_string()))
            }
        }

        impl<'de, Context> BorrowDecode<'de, Context> for $name {
            fn borrow_decode<D: bincode::de::BorrowDecoder<'de, Context = Context>>(
                decoder: &mut D,
            ) -> Result<Self, bincode::error::DecodeError> {
                Self::decode(decoder)
            }
        }
    };
}

text_id!(
    /// A pool of VMs.
    PoolId, "-_."
);
text_id!(
    /// A team that submits work.
    TeamId, "-_."
);
text_id!(
    /// A queue that callers send requests to.
    QueueId, "-_."
);
text_id!(
    /// A key, without its secret.
    KeyId, "-_"
);
text_id!(
    /// A VM, named by the platform.
    VmId, "-_."
);
text_id!(
    /// An availability zone.
    ZoneId, "-_."
);
text_id!(
    /// A rack inside a zone.
    RackId, "-_."
);
text_id!(
    /// A daemon, named by its settings.
    DaemonId, "-_."
);
text_id!(
    /// A request, named by its caller or else by the daemon.
    RequestId, "-_."
);
text_id!(
    /// Who answers for a catalogue entry: a name or a mail address.
    Owner, "-_.@+"
);
text_id!(
    /// Who wrote a record of the log: a daemon, an operator or a tool.
    AuthorId, "-_.@+"
);
