//! Headers that belong to one connection and are never passed on.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const CLOSE: &str = "close";
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Tells which headers of a message belong to one connection only (RFC 9110, section 7.6.1).
#[derive(Debug, Clone, Copy)]
pub struct HopByHop<'a> {
    /// The message's headers, if one of them is `Connection`, which may name more.
    naming: Option<&'a HeaderMap>,
}

impl<'a> HopByHop<'a> {
    /// Those of a message with these headers.
    #[must_use]
    pub fn of(headers: &'a HeaderMap) -> Self {
        Self {
            naming: headers.contains_key(CONNECTION).then_some(headers),
        }
    }

    /// Whether `name` is one, framing headers and what `Connection` names included.
    #[must_use]
    pub fn contains(self, name: &HeaderName) -> bool {
        let fixed = [
            CONNECTION,
            CONTENT_LENGTH,
            PROXY_AUTHENTICATE,
            PROXY_AUTHORIZATION,
            TE,
            TRAILER,
            TRANSFER_ENCODING,
            UPGRADE,
        ];
        fixed.contains(name)
            || name.as_str() == KEEP_ALIVE
            || name.as_str() == PROXY_CONNECTION
            || self
                .naming
                .is_some_and(|headers| named_by_connection(name, headers))
    }
}

/// Whether the sender closes the connection behind this message, or wants it closed behind the
/// answer (RFC 9112, section 9.6).
#[must_use]
pub fn asks_to_close(headers: &HeaderMap) -> bool {
    connection_names(CLOSE, headers)
}

fn named_by_connection(name: &HeaderName, headers: &HeaderMap) -> bool {
    connection_names(name.as_str(), headers)
}

fn connection_names(option: &str, headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(option))
}
