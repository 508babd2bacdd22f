//! Text identifiers: short, printable, and cheap to clone because they share their text.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bincode::{BorrowDecode, Decode, Encode};

/// The maximum length of an identifier, in characters.
pub const MAX_ID_CHARS: usize = 64;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum IdError {
    /// The text is empty.
    #[error("expected 1 to {MAX_ID_CHARS} characters, found none")]
    Empty,
    /// The text is longer than [`MAX_ID_CHARS`] characters.
    #[error("expected 1 to {MAX_ID_CHARS} characters, found {chars}")]
    TooLong {
        /// The length of the text in characters.
        chars: usize,
    },
    /// The text has a character that this kind of identifier does not allow.
    #[error("expected letters, digits and {allowed}, found {found:?}")]
    InvalidCharacter {
        /// The first character that is not allowed.
        found: char,
        /// The punctuation that is allowed besides ASCII letters and digits.
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
    let invalid = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !allowed.contains(*c));
    match invalid {
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
            /// Returns the identifier as text.
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

        // Decoding checks the text as parsing does, because records from the log are not trusted.
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
    /// The name of a pool of VMs.
    PoolId, "-_."
);
text_id!(
    /// The name of a team that submits work.
    TeamId, "-_."
);
text_id!(
    /// The name of a queue that callers send requests to.
    QueueId, "-_."
);
text_id!(
    /// The public part of a key, before the dot. It has no dot itself.
    KeyId, "-_"
);
text_id!(
    /// The name of a VM, assigned by the platform.
    VmId, "-_."
);
text_id!(
    /// The name of an availability zone.
    ZoneId, "-_."
);
text_id!(
    /// The name of a rack inside a zone.
    RackId, "-_."
);
text_id!(
    /// The name of a daemon, from its settings.
    DaemonId, "-_."
);
text_id!(
    /// The id of a request, chosen by its caller or else by the daemon.
    RequestId, "-_."
);
text_id!(
    /// The person or group responsible for a catalogue entry: a name or a mail address.
    Owner, "-_.@+"
);
text_id!(
    /// The author of a record of the log: a daemon, an operator or a tool.
    AuthorId, "-_.@+"
);
