//! The configuration that the operator publishes, and the routing of requests by it.

use vanillafold_jobs::{Catalogue, Wave};

/// Maps requests for a host and path prefix to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// `Host` header of the requests, without a port.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// Queue that the requests are for.
    pub queue: String,
    /// Whether callers without a known key may use the route.
    pub public: bool,
}

/// A version of the fleet's configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Version number; a larger number replaces a smaller one.
    pub version: u64,
    /// Routes from hosts and paths to queues.
    pub routes: Vec<Route>,
    /// Pairs of an API key and the organisation that it belongs to, sorted by key.
    pub keys: Vec<(String, String)>,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Pools, queues and organisations, as the scheduler needs them.
    pub catalogue: Catalogue,
}

/// A parsed row of [`Keyspace::Operator`](super::Keyspace::Operator).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<FleetConfig>),
    /// A maintenance wave.
    Wave(Wave),
}

/// Result of routing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedRoute<'a> {
    /// Queue that the request is for.
    pub queue: &'a str,
    /// Organisation of the caller; empty if the route is public and the caller sent no known key.
    pub organisation: &'a str,
    /// The part of the path after the route's prefix.
    pub subpath: &'a str,
}

/// Reason why a request can't be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The route is not public, and the caller sent no known key.
    Unauthorized,
}

impl FleetConfig {
    /// Finds the queue and organisation of a request. Of several matching routes, the one with the
    /// longest prefix applies.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if no route matches, or if the route requires a known key.
    pub fn resolve<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<ResolvedRoute<'a>, RouteError> {
        let matches = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        let route = self
            .routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.path_prefix.len())
            .ok_or(RouteError::NoRoute)?;
        let organisation = key.and_then(|key| {
            let found = self.keys.binary_search_by(|row| row.0.as_str().cmp(key));
            found.ok().map(|index| self.keys[index].1.as_str())
        });
        match organisation {
            None if !route.public => Err(RouteError::Unauthorized),
            _ => Ok(ResolvedRoute {
                queue: &route.queue,
                organisation: organisation.unwrap_or(""),
                subpath: &path[route.path_prefix.len()..],
            }),
        }
    }
}
