//! The commands `key give` and `key withdraw`.

use std::fs::File;
use std::io::{self, Read as _};

use vanillafold::state::{CatalogueChange, key_digest};
use vanillafold::types::{Key, KeyId, Offset, Owner, TeamId};

use crate::publish::{PublishError, Publisher};

/// The number of random bytes in a new secret.
const SECRET_BYTES: usize = 24;
/// The system's source of random bytes.
const RANDOM_SOURCE: &str = "/dev/urandom";

/// Why no key was given to a team.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum KeyError {
    /// The source of random bytes could not be read.
    #[error("can't read random bytes for a secret: {0}")]
    Random(#[from] io::Error),
    /// The key was not published or not accepted.
    #[error(transparent)]
    Publish(#[from] PublishError),
}

/// A new key with its secret, which is printed once and stored nowhere.
pub(crate) struct GivenKey {
    /// The whole key `id.secret`, as callers send it.
    pub(crate) text: String,
    /// The offset of the record that publishes the key.
    pub(crate) offset: Offset,
}

/// Gives a new key to a team and returns it. Only the key's digest is published.
///
/// # Errors
///
/// Returns a [`KeyError`] if no secret could be generated or the key was not published or accepted.
pub(crate) async fn give(
    publisher: &mut Publisher,
    id: KeyId,
    owner: Owner,
    team: TeamId,
) -> Result<GivenKey, KeyError> {
    let text = format!("{id}.{}", generate_secret()?);
    let key = Key {
        id,
        owner,
        team,
        digest: key_digest(&text),
    };
    let offset = publisher.publish(CatalogueChange::GiveKey(key)).await?;
    Ok(GivenKey { text, offset })
}

/// Withdraws a key permanently and returns the offset of the record.
///
/// # Errors
///
/// Returns a [`PublishError`] if the withdrawal was not published or not accepted.
pub(crate) async fn withdraw(publisher: &mut Publisher, id: KeyId) -> Result<Offset, PublishError> {
    publisher.publish(CatalogueChange::WithdrawKey(id)).await
}

/// Returns a random secret in hexadecimal digits.
fn generate_secret() -> io::Result<String> {
    let mut bytes = [0_u8; SECRET_BYTES];
    File::open(RANDOM_SOURCE)?.read_exact(&mut bytes)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
