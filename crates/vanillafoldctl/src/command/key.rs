//! `key give` and `key withdraw`.

use std::fs::File;
use std::io::{self, Read as _};

use vanillafold::state::{CatalogueChange, key_digest};
use vanillafold::types::{Key, KeyId, Offset, Owner, TeamId};

use crate::session::{Publisher, SessionError};

/// Random bytes in a new secret.
const SECRET_BYTES: usize = 24;
/// Where random bytes come from.
const RANDOM: &str = "/dev/urandom";

/// Why no key was given.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum KeyError {
    /// No random bytes could be had.
    #[error("can't make a secret: {0}")]
    Random(#[from] io::Error),
    /// The key was not published.
    #[error(transparent)]
    Session(#[from] SessionError),
}

/// A key with its secret, shown once.
pub(crate) struct GivenKey {
    /// The whole key, as callers present it.
    pub(crate) text: String,
    /// Where it was published.
    pub(crate) offset: Offset,
}

/// Gives a new key to a team. Only its digest is published.
///
/// # Errors
///
/// [`KeyError`].
pub(crate) async fn give(
    publisher: &mut Publisher,
    id: KeyId,
    owner: Owner,
    team: TeamId,
) -> Result<GivenKey, KeyError> {
    let text = format!("{id}.{}", secret()?);
    let key = Key {
        id,
        owner,
        team,
        digest: key_digest(&text),
    };
    let offset = publisher.publish(CatalogueChange::GiveKey(key)).await?;
    Ok(GivenKey { text, offset })
}

/// Withdraws a key for good.
///
/// # Errors
///
/// [`SessionError`].
pub(crate) async fn withdraw(publisher: &mut Publisher, id: KeyId) -> Result<Offset, SessionError> {
    publisher.publish(CatalogueChange::WithdrawKey(id)).await
}

fn secret() -> io::Result<String> {
    let mut bytes = [0_u8; SECRET_BYTES];
    File::open(RANDOM)?.read_exact(&mut bytes)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
