//! What the operator publishes.

use vanillafold_jobs::{Catalogue, Wave};

/// A way from a host and path to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// Paths that begin so belong to it.
    pub path_prefix: String,
    /// The queue.
    pub queue: String,
    /// Open to callers without a key.
    pub public: bool,
}

/// A configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Later ones have larger numbers.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// Keys and whose they are, sorted by key.
    pub keys: Vec<(String, String)>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// What placement needs.
    pub catalogue: Catalogue,
}

/// A record of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRecord {
    /// The configuration.
    Config(Box<FleetConfig>),
    /// A wave of upkeep.
    Wave(Wave),
}

/// Where a request belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedRoute<'a> {
    /// The queue.
    pub queue: &'a str,
    /// The organisation; empty if the queue is open and no key came.
    pub organisation: &'a str,
    /// What follows the prefix in the path.
    pub subpath: &'a str,
}

/// Why a request belongs nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route fits.
    NoRoute,
    /// The route needs a key that is known.
    Unauthorized,
}

impl FleetConfig {
    /// Finds the queue and organisation of a request: the longest prefix counts.
    ///
    /// # Errors
    ///
    /// [`RouteError`].
    pub fn resolve<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<ResolvedRoute<'a>, RouteError> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        let route = self
            .routes
            .iter()
            .filter(fits)
            .max_by_key(|route| route.path_prefix.len())
            .ok_or(RouteError::NoRoute)?;
        let organisation = key.and_then(|key| {
            let found = self.keys.binary_search_by(|row| row.0.as_str().cmp(key));
            found.ok().map(|at| self.keys[at].1.as_str())
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
