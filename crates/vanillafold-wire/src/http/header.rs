//! Hop-by-hop headers, which belong to one connection and must not be forwarded.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const CLOSE: &str = "close";
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// The set of hop-by-hop headers of a message (RFC 9110, section 7.6.1).
#[derive(Debug, Clone, Copy)]
pub struct HopByHop<'a> {
    /// The message's headers, if they include `Connection`, which may name further ones.
    connection_headers: Option<&'a HeaderMap>,
}

impl<'a> HopByHop<'a> {
    /// Returns the hop-by-hop headers of a message with these headers.
    #[must_use]
    pub fn of(headers: &'a HeaderMap) -> Self {
        Self {
            connection_headers: headers.contains_key(CONNECTION).then_some(headers),
        }
    }

    /// Returns whether `name` is a hop-by-hop header: a standard one, a framing header, or one that
    /// `Connection` names.
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
                .connection_headers
                .is_some_and(|headers| named_by_connection(name, headers))
    }
}

/// Returns whether a message asks to close the connection (RFC 9112, section 9.6): a request after
/// its response, a response after itself.
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
