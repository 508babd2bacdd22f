//! The HTTP service of the metadata store.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::time::{sleep, timeout};
use vanillafold_wire::http::Service;

use super::fault::{StoreCall, StoreEffect, StoreFault};
use super::state::{MembershipBody, State};
use super::topic::KeyedRecord;
use crate::fleet::http::{Query, empty_response, serve};
use crate::fleet::network::Network;
use crate::process::Notify;

/// Usual latency of a call.
const LATENCY: Duration = Duration::from_millis(3);

/// The metadata store.
#[derive(Debug)]
pub struct Store {
    state: RefCell<State>,
    faults: RefCell<Vec<StoreFault>>,
    changed: Notify,
    network: Rc<Network>,
}

/// The store as one daemon reaches it.
struct DaemonService {
    store: Rc<Store>,
    daemon: usize,
    daemon_name: String,
}

impl Store {
    pub(in crate::fleet) fn new(network: &Rc<Network>) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            faults: RefCell::default(),
            changed: Notify::default(),
            network: Rc::clone(network),
        })
    }

    /// Listens for the calls of one daemon.
    pub(in crate::fleet) fn listen(
        self: &Rc<Self>,
        daemon: usize,
        daemon_name: &str,
    ) -> io::Result<SocketAddr> {
        serve(Rc::new(DaemonService {
            store: Rc::clone(self),
            daemon,
            daemon_name: daemon_name.to_owned(),
        }))
    }

    /// Puts a fault in force; of several that affect a call the latest counts.
    pub fn add_fault(&self, fault: StoreFault) {
        self.faults.borrow_mut().push(fault);
    }

    /// Ends a fault.
    pub fn remove_fault(&self, fault: StoreFault) {
        let mut faults = self.faults.borrow_mut();
        if let Some(index) = faults.iter().rposition(|known| *known == fault) {
            faults.remove(index);
        }
    }

    pub(in crate::fleet) fn remove_all_faults(&self) {
        self.faults.borrow_mut().clear();
    }

    /// Returns whether a fault affects the appends of all, those of the operator included.
    pub(in crate::fleet) fn is_down(&self) -> bool {
        let faults = self.faults.borrow();
        let mut of_all = faults.iter().filter(|fault| fault.daemon.is_none());
        of_all.any(|fault| matches!(fault.call, None | Some(StoreCall::Append)))
    }

    /// Stops or resumes the times of the members of groups.
    pub fn set_groups_paused(&self, paused: bool) {
        self.state.borrow_mut().set_paused(paused);
    }

    /// Writes a record as the operator or a runner does; an empty value deletes the key.
    pub(in crate::fleet) fn put(&self, topic: &str, key: &str, value: impl Into<Bytes>) {
        let record = KeyedRecord {
            key: key.to_owned(),
            value: value.into(),
        };
        self.state.borrow_mut().topic(topic).add(record);
        self.changed.notify_all();
    }

    /// Returns whether a topic has a record whose key ends in `suffix`.
    #[must_use]
    pub fn has_record(&self, topic: &str, suffix: &str) -> bool {
        let mut state = self.state.borrow_mut();
        let mut newest = state.topic(topic).newest_after("").iter();
        newest.any(|row| row.record.key.ends_with(suffix))
    }

    /// Returns the member of a group that owns a partition.
    #[must_use]
    pub fn owner(&self, group: &str, partition: usize) -> Option<String> {
        let mut state = self.state.borrow_mut();
        let mut owners = state.group(group).owners();
        owners
            .find(|(owned, _)| *owned == partition)
            .map(|(_, member)| member.to_owned())
    }

    fn effect(&self, daemon: usize, call: StoreCall) -> Option<StoreEffect> {
        let faults = self.faults.borrow();
        let mut latest_first = faults.iter().rev();
        latest_first
            .find(|fault| fault.affects(daemon, call))
            .map(|fault| fault.effect)
    }
}

impl Service for DaemonService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let call = match request.uri().path() {
            "/log-append" => StoreCall::Append,
            "/log-read" | "/log-newest" => StoreCall::Read,
            "/log-join" | "/log-leave" => StoreCall::Membership,
            "/log-owners" => StoreCall::Owners,
            _ => return Some(empty_response(StatusCode::NOT_FOUND)),
        };
        sleep(LATENCY).await;
        match self.store.effect(self.daemon, call) {
            None => Some(self.carry_out(&request).await),
            Some(StoreEffect::Refuse(status)) => {
                let status = StatusCode::from_u16(status);
                Some(empty_response(
                    status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
                ))
            }
            Some(StoreEffect::Close) => None,
            Some(StoreEffect::Silence) => std::future::pending().await,
            Some(StoreEffect::AnswerLate(delay_ms)) => {
                let response = self.carry_out(&request).await;
                sleep(Duration::from_millis(delay_ms)).await;
                Some(response)
            }
            Some(StoreEffect::DoLate(delay_ms)) => {
                sleep(Duration::from_millis(delay_ms)).await;
                self.carry_out(&request).await;
                std::future::pending().await
            }
        }
    }
}

impl DaemonService {
    async fn carry_out(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let query = Query::of(request);
        if request.uri().path() == "/log-read" {
            self.wait_for_records(query).await;
        }
        let membership = || serde_json::from_slice::<MembershipBody>(request.body());
        let mut state = self.store.state.borrow_mut();
        match request.uri().path() {
            "/log-append" => {
                let response = state.append(query, request.body());
                self.store.changed.notify_all();
                response
            }
            "/log-read" => state.read(query, |record| self.rewrite_record(record)),
            "/log-newest" => state.newest(query, |record| self.rewrite_record(record)),
            "/log-owners" => state.owners(query, |member| self.rewrite_member(member)),
            "/log-join" => match membership() {
                Ok(body) => state.join(&body),
                Err(_) => empty_response(StatusCode::BAD_REQUEST),
            },
            _ => match membership() {
                Ok(body) => state.leave(&body),
                Err(_) => empty_response(StatusCode::BAD_REQUEST),
            },
        }
    }

    /// Waits until there are records to read, for as long as the call says.
    async fn wait_for_records(&self, query: Query<'_>) {
        let topic = query.text("topic").unwrap_or_default();
        let from = query.number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(query.number("wait_ms").unwrap_or(0));
        while self.store.state.borrow_mut().topic(topic).end() <= from {
            let left = until.saturating_duration_since(Instant::now());
            if timeout(left, self.store.changed.changed()).await.is_err() {
                return;
            }
        }
    }

    /// Replaces the address in the name of another daemon by that of the relay to it, so that
    /// connections between daemons go through the network.
    fn rewrite_member(&self, member: &str) -> String {
        let is_own = member.split('/').nth(1) == Some(&self.daemon_name);
        match member.split_once('/') {
            Some((address, name)) if !is_own => format!("{}/{name}", self.relay_address(address)),
            _ => member.to_owned(),
        }
    }

    /// Replaces the address in the registration of a runner by that of the relay to it.
    fn rewrite_record(&self, record: &KeyedRecord) -> KeyedRecord {
        let parsed = serde_json::from_slice::<serde_json::Value>(&record.value);
        let Ok(mut value) = parsed else {
            return record.clone();
        };
        let address = match value.get("address").and_then(|address| address.as_str()) {
            Some(address) => self.relay_address(address),
            None => return record.clone(),
        };
        value["address"] = address.into();
        KeyedRecord {
            key: record.key.clone(),
            value: value.to_string().into(),
        }
    }

    /// Returns the address of the daemon's relay to `address`, or `address` itself if it can't be
    /// read.
    fn relay_address(&self, address: &str) -> String {
        let parsed = address.parse().ok();
        let relay =
            parsed.and_then(|parsed| self.store.network.relay(&self.daemon_name, parsed).ok());
        relay.map_or(address.to_owned(), |relay| relay.address().to_string())
    }
}
