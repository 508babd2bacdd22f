//! An in-memory platform: a store that can be made unreachable for each daemon, VMs without workers,
//! and no workers.
#![allow(async_fn_in_trait)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use vanillafold::fleet::{
    Advisor, AppendCondition, AppendError, Changes, CloudApi, CloudError, FleetConfig,
    FleetPlatform, KeyedRow, Keyspace, LatestRows, Membership, MetadataStore, OperatorRecord,
    PartitionOwner, StoreError, VmList, WorkerConnection,
};
use vanillafold_jobs::{
    Advice, AdviceQuery, Epoch, Order, OrderAnswer, PollReport, Resources, Vm, VmOperation, Wave,
    WorkerEntry, WorkerId,
};

/// Latency of the store.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// Time after which a call to the unreachable store fails.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(100);
/// Key of the operator's record that asks for the maintenance of all VMs.
pub(crate) const WAVE_KEY: &str = "wave";
/// Prefix of the keys of the operator's records that ask for the evacuation of a zone.
pub(crate) const EVACUATION_PREFIX: &str = "evacuate-";
/// Maximum number of rows in a page.
const PAGE_ROWS: usize = 2;

/// A member of the owners' group.
#[derive(Debug)]
struct Member {
    name: String,
    joined_at: Instant,
    ttl_ms: u64,
}

/// State of the store, shared by all daemons.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    /// Members in the order in which they joined. The last one owns the shard, as every join
    /// assigns it anew.
    members: Vec<Member>,
    generation: u64,
    epoch: u64,
    sequence: u64,
    /// Rows of the shard's records, sorted by key.
    jobs: Vec<(String, Vec<u8>)>,
    /// Number of appends that started a new epoch of the shard.
    pub(crate) takeovers: u64,
    /// Number of accepted claims of the shard.
    pub(crate) claims: u64,
    /// Number of claims rejected because another daemon had claimed the shard before.
    pub(crate) late_claims: u64,
    /// Number of joins that were sent while the store was unreachable. The store may receive the
    /// last one when the network recovers.
    pub(crate) unreachable_joins: u64,
    /// Number of reads of the group's members that failed because the store was unreachable.
    pub(crate) unreachable_owner_reads: u64,
    /// Whether the store refuses records of the shard.
    pub(crate) refuses_records: bool,
    /// Whether the operator's records can't be read.
    pub(crate) hides_operator_records: bool,
    /// Whether appends to the shard's records get no answer.
    pub(crate) hangs: bool,
    /// Number of reads of the shard's records that still have to fail. Only reads of a later page
    /// than the first fail.
    pub(crate) failing_pages: u64,
    /// Registrations of workers, sorted by key, and their changes. A value is an address.
    pub(crate) workers: Vec<(String, Vec<u8>)>,
    pub(crate) worker_changes: Vec<(String, Vec<u8>)>,
    /// Changes of the operator's records after the first configuration. A value of one byte below
    /// 255 is a configuration of this version.
    pub(crate) operator_changes: Vec<(String, Vec<u8>)>,
    /// VMs as listed, whatever was ordered.
    pub(crate) vms: Vec<Vm>,
    /// Operations on VMs that were ordered, with the epoch of the owner and the time.
    pub(crate) vm_operations: Vec<(u64, Instant, VmOperation)>,
    /// Workers that a connection was made for.
    pub(crate) connected: Vec<String>,
    /// Address at which workers answer polls, and orders never.
    pub(crate) silent_address: Option<SocketAddr>,
    /// Address at which workers answer polls and accept orders.
    pub(crate) answering_address: Option<SocketAddr>,
    /// Whether workers reject the first poll on each connection for the time being.
    pub(crate) rejects_first_polls: bool,
    /// Addresses to which start orders were sent.
    pub(crate) started_at: Vec<SocketAddr>,
    /// For each read of a page of the shard's records, the key after which it starts.
    pub(crate) pages: Vec<String>,
}

impl StoreState {
    /// Sets a row of the shard's records; an empty value deletes it.
    pub(crate) fn put_job_row(&mut self, key: &str, value: Vec<u8>) {
        match self.jobs.binary_search_by(|row| row.0.as_str().cmp(key)) {
            Ok(index) if value.is_empty() => {
                self.jobs.remove(index);
            }
            Ok(index) => self.jobs[index].1 = value,
            Err(_) if value.is_empty() => {}
            Err(index) => self.jobs.insert(index, (key.to_owned(), value)),
        }
    }

    /// Returns the latest value of each of the operator's records, sorted by key.
    fn operator_rows(&self) -> Vec<(String, Vec<u8>)> {
        let mut rows = vec![("config".to_owned(), vec![1])];
        for (key, value) in &self.operator_changes {
            rows.retain(|row| row.0 != *key);
            rows.extend((!value.is_empty()).then(|| (key.clone(), value.clone())));
        }
        rows.sort();
        rows
    }

    /// Returns whether a record of a job is stored.
    pub(crate) fn has_job(&self, number: u64) -> bool {
        let id = format!("{number:016x}");
        self.jobs.iter().any(|row| row.0.contains(&id))
    }

    /// Returns the name of the daemon that owns the shard.
    pub(crate) fn owner(&self) -> Option<&str> {
        self.members.last()?.name.split('/').nth(1)
    }

    /// Removes all members at once, as an outage of the store may do.
    pub(crate) fn forget_members(&mut self) {
        self.members.clear();
        self.generation += 1;
    }

    /// Removes members that have not joined again within their time to live.
    fn expire_members(&mut self) {
        let is_alive =
            |member: &Member| member.joined_at.elapsed() < Duration::from_millis(member.ttl_ms);
        let before = self.members.len();
        self.members.retain(is_alive);
        self.generation += u64::from(self.members.len() != before);
    }
}

/// The platform as seen by one daemon.
#[derive(Debug, Clone)]
pub(crate) struct TestPlatform {
    pub(crate) state: Rc<RefCell<StoreState>>,
    /// Whether the daemon is cut off from the store.
    pub(crate) store_unreachable: Rc<Cell<bool>>,
    /// Whether the store lets the daemon read no records of the operator.
    pub(crate) operator_records_hidden: Rc<Cell<bool>>,
    /// Address at which the daemon reaches the others; their own if there is none.
    pub(crate) relay_address: Option<SocketAddr>,
}

impl TestPlatform {
    /// Returns the name under which this daemon sees a member, which begins with its address.
    fn seen_name(&self, name: &str) -> String {
        match (self.relay_address, name.split_once('/')) {
            (Some(address), Some((_, rest))) => format!("{address}/{rest}"),
            _ => name.to_owned(),
        }
    }
}

/// A daemon's connection to the store.
#[derive(Debug)]
pub(crate) struct TestStore(TestPlatform);

impl TestStore {
    /// Waits as long as a call takes; fails if the store is unreachable.
    async fn simulate_call(&self) -> Result<(), StoreError> {
        match self.0.store_unreachable.get() {
            true => {
                sleep(UNREACHABLE_DELAY).await;
                Err(StoreError::NoAnswer("cut off".to_owned()))
            }
            false => {
                sleep(STORE_DELAY).await;
                Ok(())
            }
        }
    }
}

impl MetadataStore for TestStore {
    async fn join(
        &mut self,
        _group: &str,
        member: &str,
        _topic: &str,
        ttl_ms: u64,
        _generation: u64,
    ) -> Result<Membership, StoreError> {
        if self.0.store_unreachable.get() {
            self.0.state.borrow_mut().unreachable_joins += 1;
        }
        self.simulate_call().await?;
        let mut state = self.0.state.borrow_mut();
        state.expire_members();
        match state.members.iter_mut().find(|row| row.name == member) {
            Some(row) => row.joined_at = Instant::now(),
            None => {
                state.generation += 1;
                state.members.push(Member {
                    name: member.to_owned(),
                    joined_at: Instant::now(),
                    ttl_ms,
                });
            }
        }
        let is_owner = state.members.last().is_some_and(|row| row.name == member);
        Ok(Membership {
            generation: state.generation,
            partitions: match is_owner {
                true => vec![0],
                false => Vec::new(),
            },
        })
    }

    async fn leave(&mut self, _group: &str, member: &str) -> Result<(), StoreError> {
        self.simulate_call().await?;
        let mut state = self.0.state.borrow_mut();
        state.members.retain(|row| row.name != member);
        state.generation += 1;
        Ok(())
    }

    async fn partition_owners(&mut self, _group: &str) -> Result<Vec<PartitionOwner>, StoreError> {
        if self.0.store_unreachable.get() {
            self.0.state.borrow_mut().unreachable_owner_reads += 1;
        }
        self.simulate_call().await?;
        let mut state = self.0.state.borrow_mut();
        state.expire_members();
        let to_owner = |row: &Member| PartitionOwner {
            partition: 0,
            member: self.0.seen_name(&row.name),
        };
        Ok(state.members.last().map(to_owner).into_iter().collect())
    }

    async fn append(
        &mut self,
        keyspace: Keyspace,
        condition: AppendCondition,
        rows: &[(String, Vec<u8>)],
        _timeout_ms: u64,
    ) -> Result<(), AppendError> {
        self.simulate_call().await?;
        if keyspace == Keyspace::Jobs && self.0.state.borrow().hangs {
            std::future::pending::<()>().await;
        }
        if keyspace == Keyspace::Jobs && !rows.is_empty() && self.0.state.borrow().refuses_records {
            return Err(AppendError::Store(StoreError::Refused("full".to_owned())));
        }
        let mut state = self.0.state.borrow_mut();
        match condition {
            AppendCondition::Producer(producer) if producer.epoch.get() < state.epoch => {
                return Err(AppendError::Fenced);
            }
            AppendCondition::Producer(producer) => {
                state.takeovers += u64::from(producer.epoch.get() > state.epoch);
                state.epoch = producer.epoch.get();
                state.sequence = producer.sequence;
            }
            AppendCondition::EndOffset(end) if end != state.claims => {
                state.late_claims += 1;
                return Err(AppendError::EndMoved);
            }
            AppendCondition::EndOffset(_) => state.claims += 1,
            AppendCondition::Unconditional => {}
        }
        if keyspace == Keyspace::Jobs {
            for (key, value) in rows {
                state.put_job_row(key, value.clone());
            }
        }
        Ok(())
    }

    async fn read_latest(
        &mut self,
        keyspace: Keyspace,
        latest: &mut LatestRows,
    ) -> Result<(), StoreError> {
        loop {
            self.simulate_call().await?;
            let mut state = self.0.state.borrow_mut();
            let last = latest.rows.last().map_or("", |row| row.key.as_str());
            if keyspace == Keyspace::Operator
                && (state.hides_operator_records || self.0.operator_records_hidden.get())
            {
                return Err(StoreError::Refused("partly down".to_owned()));
            }
            let rows: Vec<(String, Vec<u8>)> = match keyspace {
                Keyspace::Operator => state.operator_rows(),
                Keyspace::Jobs => state.jobs.clone(),
                Keyspace::Workers => state.workers.clone(),
                Keyspace::Status | Keyspace::Claims => Vec::new(),
            };
            if keyspace == Keyspace::Jobs {
                state.pages.push(last.to_owned());
                if !last.is_empty() && state.failing_pages > 0 {
                    state.failing_pages -= 1;
                    return Err(StoreError::NoAnswer("page lost".to_owned()));
                }
            }
            let end = match keyspace {
                Keyspace::Claims => state.claims,
                Keyspace::Operator => state.operator_changes.len() as u64,
                _ => 0,
            };
            let left = rows.into_iter().filter(|row| row.0.as_str() > last);
            let page: Vec<KeyedRow> = left
                .take(PAGE_ROWS)
                .map(|(key, value)| KeyedRow { key, value })
                .collect();
            latest.next_offset.get_or_insert(end);
            if page.is_empty() {
                return Ok(());
            }
            latest.rows.extend(page);
        }
    }

    async fn read_changes(
        &mut self,
        keyspace: Keyspace,
        from: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError> {
        self.simulate_call().await?;
        sleep(Duration::from_millis(wait_ms)).await;
        if keyspace == Keyspace::Operator && self.0.operator_records_hidden.get() {
            return Err(StoreError::Refused("partly down".to_owned()));
        }
        let state = self.0.state.borrow();
        let changes = match keyspace {
            Keyspace::Workers => state.worker_changes.as_slice(),
            Keyspace::Operator => state.operator_changes.as_slice(),
            _ => &[],
        };
        let first = usize::try_from(from).unwrap_or(usize::MAX);
        let rows = changes.iter().skip(first).cloned();
        Ok(Changes {
            rows: rows.map(|(key, value)| KeyedRow { key, value }).collect(),
            next_offset: from.max(changes.len() as u64),
        })
    }
}

/// A connection to the API for VMs.
#[derive(Debug)]
pub(crate) struct TestCloud(Rc<RefCell<StoreState>>);

impl CloudApi for TestCloud {
    async fn list_vms(&mut self) -> Result<VmList, CloudError> {
        Ok(VmList {
            vms: self.0.borrow().vms.clone(),
            has_unreadable_vms: false,
        })
    }

    async fn send_vm_operations(
        &mut self,
        _daemon_name: &str,
        epoch: Epoch,
        vm_operations: &[VmOperation],
        mut answered: impl FnMut(usize, Result<(), CloudError>),
    ) {
        for (index, operation) in vm_operations.iter().enumerate() {
            let row = (epoch.get(), Instant::now(), operation.clone());
            self.0.borrow_mut().vm_operations.push(row);
            answered(index, Ok(()));
        }
    }
}

/// Connection to an advice service that does not answer.
#[derive(Debug)]
pub(crate) struct EmptyPlatform;

/// A connection to a worker without runs at one of the addresses in the store's state. Others can't be
/// reached.
#[derive(Debug)]
pub(crate) struct TestWorker {
    state: Rc<RefCell<StoreState>>,
    address: SocketAddr,
    is_open: bool,
    has_polled: bool,
}

impl WorkerConnection for TestWorker {
    async fn is_open(&mut self) -> bool {
        self.is_open
    }

    async fn open(&mut self, _timeout_ms: u64) -> Result<(), OrderAnswer> {
        let state = self.state.borrow();
        let known = [state.silent_address, state.answering_address];
        self.is_open = known.contains(&Some(self.address));
        match self.is_open {
            true => Ok(()),
            false => Err(OrderAnswer::NotSent),
        }
    }

    async fn poll(
        &mut self,
        _epoch: Epoch,
        _deadline_ms: Option<u64>,
        _acknowledged_end: u64,
        wait_ms: u64,
        _timeout_ms: u64,
    ) -> Result<PollReport, OrderAnswer> {
        sleep(Duration::from_millis(wait_ms)).await;
        let is_first = !std::mem::replace(&mut self.has_polled, true);
        if is_first && self.state.borrow().rejects_first_polls {
            return Err(OrderAnswer::Unhealthy);
        }
        Ok(PollReport {
            clock_ms: 60_000,
            started_unix_ms: Some(1),
            ..PollReport::default()
        })
    }

    async fn send(
        &mut self,
        _epoch: Epoch,
        orders: &[Order],
        _timeout_ms: u64,
        mut answered: impl FnMut(usize, OrderAnswer),
    ) {
        let is_start = |order: &&Order| matches!(order, Order::Start { .. });
        let starts = orders.iter().filter(is_start).map(|_| self.address);
        self.state.borrow_mut().started_at.extend(starts);
        if self.state.borrow().silent_address == Some(self.address) {
            std::future::pending::<()>().await;
        }
        for index in 0..orders.len() {
            answered(index, OrderAnswer::Accepted);
        }
    }
}

impl Advisor for EmptyPlatform {
    async fn advise(&mut self, _query: &AdviceQuery) -> Option<Advice> {
        None
    }
}

impl FleetPlatform for TestPlatform {
    type Store = TestStore;
    type Worker = TestWorker;
    type Cloud = TestCloud;
    type Advisor = EmptyPlatform;

    fn store(&self) -> TestStore {
        TestStore(self.clone())
    }

    fn worker(&self, id: &WorkerId, address: SocketAddr) -> TestWorker {
        self.state.borrow_mut().connected.push(id.to_string());
        TestWorker {
            state: Rc::clone(&self.state),
            address,
            is_open: false,
            has_polled: false,
        }
    }

    fn cloud(&self) -> TestCloud {
        TestCloud(Rc::clone(&self.state))
    }

    fn advisor(&self) -> Option<EmptyPlatform> {
        None
    }

    fn operator_record(&self, row: &KeyedRow) -> Result<Option<OperatorRecord>, String> {
        if row.key.starts_with(EVACUATION_PREFIX) {
            return Ok(None);
        }
        if row.key == WAVE_KEY {
            let vms = self.state.borrow().vms.clone();
            return Ok(Some(OperatorRecord::Wave(Wave {
                number: 1,
                vms: vms.into_iter().map(|vm| vm.name).collect(),
                duration_ms: 1_000,
                max_unavailable: 4,
            })));
        }
        let [version @ 0..=254] = row.value[..] else {
            return Err("expected a version".to_owned());
        };
        let config = FleetConfig {
            version: u64::from(version),
            ..FleetConfig::default()
        };
        Ok(Some(OperatorRecord::Config(Box::new(config))))
    }

    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(EVACUATION_PREFIX)
    }

    fn worker_entry(&self, row: &KeyedRow) -> Result<WorkerEntry, String> {
        let address = std::str::from_utf8(&row.value).map_err(|error| error.to_string())?;
        Ok(WorkerEntry {
            id: row.key.parse().map_err(|_| "no id".to_owned())?,
            pool: "pool-a".to_owned(),
            address: address.parse().map_err(|_| "no address".to_owned())?,
            zone: "zone-a".to_owned(),
            ready: true,
            capacity: Resources::default(),
            labels: Vec::new(),
            started_unix_ms: None,
            cold_remaining_ms: 0,
        })
    }

    fn wave_status(&self, wave: u64, _completed: bool) -> (String, Vec<u8>) {
        (wave.to_string(), Vec::new())
    }
}
