//! Answers the requests at the admin address.

use std::fmt::Write as _;
use std::rc::Rc;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Method, Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use subtle::ConstantTimeEq as _;
use vanillafold_state::Stream;
use vanillafold_types::KeyId;
use vanillafold_wire::http::Service;

use crate::node::Node;
use crate::recover::withdraw_key;

/// The pages at the admin address. All but health and metrics need the operators' credential.
pub(crate) struct AdminService {
    node: Rc<Node>,
    metrics: PrometheusHandle,
}

impl AdminService {
    pub(crate) const fn new(node: Rc<Node>, metrics: PrometheusHandle) -> Self {
        Self { node, metrics }
    }

    fn route(&self, request: &Request<Bytes>) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => text(StatusCode::OK, "live\n"),
            (&Method::GET, "/ready") if self.node.is_ready() => text(StatusCode::OK, "ready\n"),
            (&Method::GET, "/ready") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::GET, "/metrics") => {
                self.metrics.run_upkeep();
                text(StatusCode::OK, self.metrics.render())
            }
            _ if !self.is_operator(request) => text(
                StatusCode::UNAUTHORIZED,
                "expected Authorization: Bearer with the operators' credential\n",
            ),
            (&Method::POST, path) => match key_to_withdraw(path) {
                Some(key) => self.withdraw(key),
                None => not_found(),
            },
            (&Method::GET, "/state") => text(StatusCode::OK, self.state_page()),
            _ => not_found(),
        }
    }

    /// Withdraws a key early: on this daemon and the peers that it reaches, before its record is
    /// read from the log.
    fn withdraw(&self, key: &str) -> Response<Bytes> {
        let key: KeyId = match key.parse() {
            Ok(key) => key,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        match withdraw_key(&self.node, key) {
            Ok(()) => text(StatusCode::ACCEPTED, "withdrawn; the log follows\n"),
            Err(error) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")),
        }
    }

    fn is_operator(&self, request: &Request<Bytes>) -> bool {
        let expected = format!("Bearer {}", self.node.settings.operator_credential.expose());
        request
            .headers()
            .get(AUTHORIZATION)
            .is_some_and(|given| given.as_bytes().ct_eq(expected.as_bytes()).into())
    }

    /// Returns the daemon's state as lines of `name=value` fields.
    fn state_page(&self) -> String {
        let state = self.node.state.borrow();
        let routes = self.node.routes.borrow();
        let mut page = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(page, "daemon={}", self.node.settings.name);
        let _ = writeln!(page, "incarnation={}", self.node.incarnation);
        for stream in [Stream::Catalogue, Stream::Control] {
            let _ = writeln!(page, "{stream}_next={}", state.next_offset(stream));
        }
        let _ = writeln!(page, "digest={}", state.digest());
        for stream in [Stream::Catalogue, Stream::Control] {
            let latest = self
                .node
                .recovery
                .snapshot_tracker
                .borrow()
                .latest_snapshot_next(stream);
            let latest = latest.map_or_else(|| "none".to_owned(), |next| next.to_string());
            let _ = writeln!(page, "newest_snapshot_{stream}_next={latest}");
        }
        let _ = writeln!(page, "requests={}", self.node.requests.count());
        let escrow = self.node.escrow.borrow().view(self.node.boot_time());
        let _ = writeln!(
            page,
            "escrow fresh={} joined={} superseded={} surplus_open={} floor_open={}",
            escrow.is_fresh,
            escrow.is_joined,
            escrow.is_superseded,
            escrow.is_surplus_open,
            escrow.is_floor_open,
        );
        for team in &escrow.teams {
            let _ = writeln!(
                page,
                "team {} limit={} home={} floor={} in_use={} lent={} borrowed={} borrowed_in_use={}",
                team.team,
                team.limit,
                team.home,
                team.floor,
                team.own_in_use,
                team.lent,
                team.borrowed,
                team.borrowed_in_use,
            );
        }
        let _ = writeln!(page, "claims={}", self.node.claims.borrow().len());
        let _ = writeln!(
            page,
            "records_to_write={}",
            self.node.writer.pending_count()
        );
        let peers = self.node.peers.borrow().clone();
        for peer in peers.map(|peers| peers.statuses()).unwrap_or_default() {
            let _ = writeln!(
                page,
                "peer {} zone={} connected={} alive={}",
                peer.daemon,
                peer.zone,
                peer.connected,
                peer.state.is_alive(),
            );
        }
        for queue in &routes.queues {
            let _ = writeln!(
                page,
                "queue {} waiting={}",
                queue.settings.id,
                queue.waiting()
            );
        }
        for zone in state.evacuated_zones() {
            let _ = writeln!(
                page,
                "evacuated_zone {} offset={}",
                zone.value, zone.revision,
            );
        }
        let now = self.node.now();
        for pool in &routes.pools {
            let table = pool.table.borrow();
            for target in table.views(now) {
                let _ = writeln!(
                    page,
                    "vm {} pool={} zone={} standing={} outstanding={} foreign={} connections={}",
                    target.vm,
                    pool.id,
                    target.zone,
                    target.status.label(),
                    target.outstanding,
                    target.external_load,
                    target.connections,
                );
            }
        }
        page
    }
}

impl Service for AdminService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        Some(self.route(&request))
    }
}

/// Returns the key id in the path of a withdrawal, `/keys/KEY/withdraw`.
fn key_to_withdraw(path: &str) -> Option<&str> {
    path.strip_prefix("/keys/")?.strip_suffix("/withdraw")
}

fn not_found() -> Response<Bytes> {
    let hint = "no such page; try GET /state or POST /keys/KEY/withdraw\n";
    text(StatusCode::NOT_FOUND, hint)
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}
