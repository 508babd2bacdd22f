//! Controls of a link process.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use vanillafold_wire::http::Service;

use super::relay::Link;
use crate::process::{AssignmentError, parse_assignments};

/// The largest control body, in bytes.
pub(crate) const MAX_CONTROL_BYTES: usize = 4 * 1024;

/// Controls the links of a process.
#[derive(Debug, Clone)]
pub(crate) struct LinkControls {
    pub(crate) links: Rc<[Rc<Link>]>,
}

/// A link as `GET /control` shows it.
#[derive(Debug, Serialize)]
struct LinkStats {
    link: usize,
    address: String,
    connections: u64,
}

impl Service for LinkControls {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let (status, body) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/control") => (StatusCode::OK, self.stats()),
            (&Method::POST, "/control") => match self.set(request.body()) {
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

impl LinkControls {
    /// Follows a body with `mode`, `delay_ms` and `link`; without `link` all links are meant.
    fn set(&self, body: &[u8]) -> Result<(), AssignmentError> {
        let mut mode = None;
        let mut delay_ms = None;
        let mut meant = None;
        for line in parse_assignments(body)? {
            match line.name {
                "mode" => mode = Some(line.parse()?),
                "delay_ms" => delay_ms = Some(line.parse()?),
                "link" => meant = Some(self.index(line.parse()?).ok_or_else(|| line.unknown())?),
                _ => return Err(line.unknown()),
            }
        }
        let links = self.links.iter().enumerate();
        let meant = links.filter(|(index, _)| meant.is_none_or(|meant| meant == *index));
        for (_, link) in meant {
            link.set(
                mode.unwrap_or(link.mode()),
                delay_ms.unwrap_or(link.delay_ms()),
            );
        }
        Ok(())
    }

    fn index(&self, index: usize) -> Option<usize> {
        (index < self.links.len()).then_some(index)
    }

    /// One JSON object a line.
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
