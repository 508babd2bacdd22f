//! A platform in memory: a store that can be cut off from single daemons, and no workers.
#![allow(async_fn_in_trait)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use vanillafold::fleet::{
    Advisor, AppendError, AppendGuard, CloudError, FleetConfig, FleetPlatform, KeyedRow, Keyspace,
    Looks, Machines, Membership, MetadataStore, Newest, OperatorRecord, Orders, Ownership,
    StoreError, Tail,
};
use vanillafold_jobs::{
    Advice, AdviceQuery, Epoch, Order, OrderAnswer, PollReport, Vm, VmOperation, WorkerEntry,
    WorkerId,
};

/// How long the store takes.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// How long a daemon that is cut off waits for an answer in vain.
const CUT_DELAY: Duration = Duration::from_millis(100);
/// Rows of a page.
const PAGE_ROWS: usize = 2;

#[derive(Debug)]
struct Member {
    name: String,
    joined_at: Instant,
    ttl_ms: u64,
}

/// What the store holds.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    /// In the order of their joining; the newest gets the shard, as each join deals it anew.
    members: Vec<Member>,
    generation: u64,
    epoch: u64,
    sequence: u64,
    /// Sorted by key.
    jobs: Vec<(String, Vec<u8>)>,
    /// How often the shard was fenced for a new epoch.
    pub(crate) takeovers: u64,
    /// How often it was claimed.
    pub(crate) claims: u64,
    /// Claims that came too late.
    pub(crate) late_claims: u64,
    /// Pages of the shard's records to fail, once each.
    pub(crate) failing_pages: u64,
    /// Keys after which pages of the shard's records were asked for.
    pub(crate) pages: Vec<String>,
}

impl StoreState {
    pub(crate) fn put_job_row(&mut self, key: &str, value: Vec<u8>) {
        match self.jobs.binary_search_by(|row| row.0.as_str().cmp(key)) {
            Ok(at) if value.is_empty() => {
                self.jobs.remove(at);
            }
            Ok(at) => self.jobs[at].1 = value,
            Err(_) if value.is_empty() => {}
            Err(at) => self.jobs.insert(at, (key.to_owned(), value)),
        }
    }

    /// The daemon that holds the shard.
    pub(crate) fn owner(&self) -> Option<&str> {
        self.members.last()?.name.split('/').nth(1)
    }

    fn expire(&mut self) {
        let lives =
            |member: &Member| member.joined_at.elapsed() < Duration::from_millis(member.ttl_ms);
        let before = self.members.len();
        self.members.retain(lives);
        self.generation += u64::from(self.members.len() != before);
    }
}

/// The platform as one daemon reaches it.
#[derive(Debug, Clone)]
pub(crate) struct TestPlatform {
    pub(crate) state: Rc<RefCell<StoreState>>,
    /// The daemon is cut off from the store.
    pub(crate) cut: Rc<Cell<bool>>,
}

/// A connection to the store.
#[derive(Debug)]
pub(crate) struct TestStore(TestPlatform);

impl TestStore {
    async fn reach(&self) -> Result<(), StoreError> {
        match self.0.cut.get() {
            true => {
                sleep(CUT_DELAY).await;
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
        self.reach().await?;
        let mut state = self.0.state.borrow_mut();
        state.expire();
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
        let holds = state.members.last().is_some_and(|row| row.name == member);
        Ok(Membership {
            generation: state.generation,
            partitions: match holds {
                true => vec![0],
                false => Vec::new(),
            },
        })
    }

    async fn leave(&mut self, _group: &str, member: &str) -> Result<(), StoreError> {
        self.reach().await?;
        let mut state = self.0.state.borrow_mut();
        state.members.retain(|row| row.name != member);
        state.generation += 1;
        Ok(())
    }

    async fn owners(&mut self, _group: &str) -> Result<Vec<Ownership>, StoreError> {
        self.reach().await?;
        let mut state = self.0.state.borrow_mut();
        state.expire();
        let ownership = |row: &Member| Ownership {
            partition: 0,
            member: row.name.clone(),
        };
        Ok(state.members.last().map(ownership).into_iter().collect())
    }

    async fn append(
        &mut self,
        keyspace: Keyspace,
        guard: AppendGuard,
        rows: &[(String, Vec<u8>)],
        _timeout_ms: u64,
    ) -> Result<(), AppendError> {
        self.reach().await?;
        let mut state = self.0.state.borrow_mut();
        match guard {
            AppendGuard::Producer(producer) if producer.epoch.get() < state.epoch => {
                return Err(AppendError::Fenced);
            }
            AppendGuard::Producer(producer) => {
                state.takeovers += u64::from(producer.epoch.get() > state.epoch);
                state.epoch = producer.epoch.get();
                state.sequence = producer.sequence;
            }
            AppendGuard::End(end) if end != state.claims => {
                state.late_claims += 1;
                return Err(AppendError::Moved);
            }
            AppendGuard::End(_) => state.claims += 1,
            AppendGuard::Free => {}
        }
        if keyspace == Keyspace::Jobs {
            for (key, value) in rows {
                state.put_job_row(key, value.clone());
            }
        }
        Ok(())
    }

    async fn newest(&mut self, keyspace: Keyspace, newest: &mut Newest) -> Result<(), StoreError> {
        loop {
            self.reach().await?;
            let mut state = self.0.state.borrow_mut();
            let last = newest.rows.last().map_or("", |row| row.key.as_str());
            let rows: Vec<(String, Vec<u8>)> = match keyspace {
                Keyspace::Operator => vec![("config".to_owned(), vec![1])],
                Keyspace::Jobs => state.jobs.clone(),
                Keyspace::Workers | Keyspace::Status | Keyspace::Claims => Vec::new(),
            };
            if keyspace == Keyspace::Jobs {
                state.pages.push(last.to_owned());
                if !last.is_empty() && state.failing_pages > 0 {
                    state.failing_pages -= 1;
                    return Err(StoreError::NoAnswer("a lost page".to_owned()));
                }
            }
            let end = match keyspace {
                Keyspace::Claims => state.claims,
                _ => 1,
            };
            let left = rows.into_iter().filter(|row| row.0.as_str() > last);
            let page: Vec<KeyedRow> = left
                .take(PAGE_ROWS)
                .map(|(key, value)| KeyedRow { key, value })
                .collect();
            newest.end.get_or_insert(end);
            if page.is_empty() {
                return Ok(());
            }
            newest.rows.extend(page);
        }
    }

    async fn follow(
        &mut self,
        _keyspace: Keyspace,
        from: u64,
        wait_ms: u64,
    ) -> Result<Tail, StoreError> {
        self.reach().await?;
        sleep(Duration::from_millis(wait_ms)).await;
        Ok(Tail {
            rows: Vec::new(),
            next: from,
        })
    }
}

/// There are no workers, no machines and no advice.
#[derive(Debug)]
pub(crate) struct Nothing;

impl Looks for Nothing {
    async fn look(
        &mut self,
        _epoch: Epoch,
        _deadline_ms: Option<u64>,
        _last_seen: u64,
        _wait_ms: u64,
    ) -> Result<PollReport, OrderAnswer> {
        Err(OrderAnswer::NotSent)
    }
}

impl Orders for Nothing {
    async fn send(
        &mut self,
        _epoch: Epoch,
        orders: &[Order],
        mut answered: impl FnMut(usize, OrderAnswer),
    ) {
        for at in 0..orders.len() {
            answered(at, OrderAnswer::NotSent);
        }
    }
}

impl Machines for Nothing {
    async fn list(&mut self) -> Result<Vec<Vm>, CloudError> {
        Ok(Vec::new())
    }

    async fn order(
        &mut self,
        _holder: &str,
        _epoch: Epoch,
        duties: &[VmOperation],
        mut answered: impl FnMut(usize, Result<(), CloudError>),
    ) {
        for at in 0..duties.len() {
            answered(at, Ok(()));
        }
    }
}

impl Advisor for Nothing {
    async fn advise(&mut self, _query: &AdviceQuery) -> Option<Advice> {
        None
    }
}

impl FleetPlatform for TestPlatform {
    type Store = TestStore;
    type Looks = Nothing;
    type Orders = Nothing;
    type Machines = Nothing;
    type Advisor = Nothing;

    fn store(&self) -> TestStore {
        TestStore(self.clone())
    }

    fn looks(&self, _worker: &WorkerId, _address: SocketAddr) -> Nothing {
        Nothing
    }

    fn orders(&self, _worker: &WorkerId, _address: SocketAddr) -> Nothing {
        Nothing
    }

    fn machines(&self) -> Nothing {
        Nothing
    }

    fn advisor(&self) -> Option<Nothing> {
        None
    }

    fn operator_record(&self, _row: &KeyedRow) -> Result<Option<OperatorRecord>, String> {
        let config = FleetConfig {
            version: 1,
            ..FleetConfig::default()
        };
        Ok(Some(OperatorRecord::Config(Box::new(config))))
    }

    fn worker_entry(&self, _row: &KeyedRow) -> Result<WorkerEntry, String> {
        Err("there are no workers".to_owned())
    }

    fn wave_status(&self, wave: u64, _completed: bool) -> (String, Vec<u8>) {
        (wave.to_string(), Vec::new())
    }
}
