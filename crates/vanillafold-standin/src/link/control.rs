//! The control API of a link process.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use vanillafold_wire::http::Service;

use super::relay::Link;
use crate::process::{AssignmentError, parse_assignments};

/// The largest control body, in bytes.
pub(crate) const MAX_CONTROL_BYTES: usize = 4 * 1024;

/// Answers `GET /control` (statistics) and `POST /control` (modes) for the links of a process.
#[derive(Debug, Clone)]
pub(crate) struct LinkControlService {
    pub(crate) links: Rc<[Rc<Link>]>,
}

/// A link's statistics, as `GET /control` returns them.
#[derive(Debug, Serialize)]
struct LinkStats {
    link: usize,
    address: String,
    connections: u64,
}

impl Service for LinkControlService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let (status, body) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/control") => (StatusCode::OK, self.stats()),
            (&Method::POST, "/control") => match self.configure_links(request.body()) {
                Ok(()) => (StatusCode::OK, String::new()),
                Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut answer = Response::new(Bytes::from(body));
        *answer.status_mut() = status;
        Some(answer)
    }
}

impl LinkControlService {
    /// Sets mode and delay as a body with `mode`, `delay_ms` and `link` says: of the link with this
    /// index, or of all links without `link`. What the body does not name stays as it is.
    fn configure_links(&self, body: &[u8]) -> Result<(), AssignmentError> {
        let mut mode = None;
        let mut delay_ms = None;
        let mut index = None;
        for line in parse_assignments(body)? {
            match line.name {
                "mode" => mode = Some(line.parse()?),
                "delay_ms" => delay_ms = Some(line.parse()?),
                "link" => index = Some(self.checked(line.parse()?).ok_or_else(|| line.unknown())?),
                _ => return Err(line.unknown()),
            }
        }
        let links = self.links.iter().enumerate();
        let selected = links.filter(|(known, _)| index.is_none_or(|index| index == *known));
        for (_, link) in selected {
            link.configure(
                mode.unwrap_or(link.mode()),
                delay_ms.unwrap_or(link.delay_ms()),
            );
        }
        Ok(())
    }

    /// Returns the index if it is that of a link.
    fn checked(&self, index: usize) -> Option<usize> {
        (index < self.links.len()).then_some(index)
    }

    /// Returns the statistics of each link as a JSON object on a line of its own.
    fn stats(&self) -> String {
        let links = self.links.iter().enumerate();
        let stats = links.map(|(index, link)| LinkStats {
            link: index,
            address: link.address.to_string(),
            connections: link.connections(),
        });
        let lines = stats.map(|stats| serde_json::to_string(&stats));
        lines.flatten().map(|line| line + "\n").collect()
    }
}
