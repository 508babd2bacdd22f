//! Stand-in for the platform's metadata store: keyed topics, producers and one kind of group, as the
//! users' PROTOCOL.md describes them. Each daemon has a port of its own, so that the store can serve
//! some daemons and turn others away.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Reply, Request, reply, serve};
use super::json::{Json, map};

pub const PARTS: usize = 16;
/// `record_bytes` and `call_bytes` of the settings.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// How the store treats the calls of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Answers 503 and does nothing.
    Busy,
}

#[derive(Default)]
struct Topic {
    /// Records from offset 0 on, each a key and a value.
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

struct Producer {
    epoch: u64,
    sequence: u64,
    recent: VecDeque<(u64, Json)>,
}

struct Member {
    name: String,
    joined_at: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: Vec<Member>,
    owner: Vec<Option<String>>,
    target: Vec<Option<String>>,
}

struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
    modes: Vec<Mode>,
    /// Since when the store is down for all, which pauses the times of members.
    down_since: Option<Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new(daemons: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                topics: HashMap::new(),
                groups: HashMap::new(),
                modes: vec![Mode::Up; daemons],
                down_since: None,
            }),
            changed: Condvar::new(),
        })
    }

    /// Serves one daemon and returns the address.
    pub fn listen(self: &Arc<Self>, daemon: usize) -> SocketAddr {
        let store = Arc::clone(self);
        serve(Arc::new(move |request: &Request| {
            if store.mode(daemon) == Mode::Busy {
                return Reply::Answer(503, Vec::new());
            }
            // The usual latency of the store.
            thread::sleep(Duration::from_millis(3));
            store.answer(request)
        }))
    }

    fn mode(&self, daemon: usize) -> Mode {
        self.state.lock().unwrap().modes[daemon]
    }

    pub fn set_mode(&self, daemon: usize, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        state.modes[daemon] = mode;
        let down = state.modes.iter().all(|mode| *mode != Mode::Up);
        match (down, state.down_since) {
            (true, None) => state.down_since = Some(Instant::now()),
            (false, Some(since)) => {
                for group in state.groups.values_mut() {
                    for member in &mut group.members {
                        member.joined_at += since.elapsed();
                    }
                }
                state.down_since = None;
            }
            _ => {}
        }
    }

    /// Writes a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.add(key.to_owned(), value.to_vec());
        self.changed.notify_all();
    }

    /// Returns the member that owns a partition of a group.
    pub fn owner(&self, group: &str, part: usize) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let down = state.down_since.is_some();
        let group = state.groups.get_mut(group)?;
        if !down {
            group.expire();
        }
        group.owner.get(part).cloned().flatten()
    }

    fn answer(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest_page(request),
            "/log-join" => self.join(&request.json()),
            "/log-leave" => self.leave(&request.json()),
            "/log-owners" => self.owners(request),
            _ => Reply::Answer(404, Vec::new()),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        let fits = |rows: &Vec<(String, Vec<u8>)>| {
            let is_short = |row: &(String, Vec<u8>)| 1 + row.0.len() + row.1.len() <= RECORD_BYTES;
            rows.iter().all(is_short) && request.body.len() <= CALL_BYTES
        };
        let Some(records) = decode(&request.body).filter(fits) else {
            return Reply::Answer(400, Vec::new());
        };
        let mut state = self.state.lock().unwrap();
        let name = request.query("topic");
        let topic = state.topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return reply(412, &map([("end", end.into())]));
        }
        let producer = request.query("producer");
        if !producer.is_empty() {
            let epoch = request.number("epoch").unwrap_or(0);
            let sequence = request.number("sequence").unwrap_or(0);
            if let Some(known) = topic.producers.get(producer) {
                let repeated = known.recent.iter().find(|row| row.0 == sequence);
                match () {
                    () if epoch < known.epoch => {
                        return reply(409, &map([("reason", "fenced".into())]));
                    }
                    () if epoch > known.epoch => {}
                    () if repeated.is_some() => return reply(200, &repeated.unwrap().1),
                    () if sequence != known.sequence + 1 => {
                        let expected = known.sequence + 1;
                        return reply(
                            409,
                            &map([("reason", "seq".into()), ("sequence", expected.into())]),
                        );
                    }
                    () => {}
                }
            }
            let row = topic
                .producers
                .entry(producer.to_owned())
                .or_insert(Producer {
                    epoch,
                    sequence,
                    recent: VecDeque::new(),
                });
            if epoch > row.epoch {
                row.recent.clear();
            }
            row.epoch = epoch;
            row.sequence = sequence;
            let added = end + records.len() as u64;
            let answer = map([("offset", end.into()), ("end", added.into())]);
            row.recent.push_back((sequence, answer));
            while row.recent.len() > 5 {
                row.recent.pop_front();
            }
        }
        let added = end + records.len() as u64;
        for (key, value) in records {
            topic.add(key, value);
        }
        self.changed.notify_all();
        reply(200, &map([("offset", end.into()), ("end", added.into())]))
    }

    fn read(&self, request: &Request) -> Reply {
        let name = request.query("topic");
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state
                .topics
                .get(name)
                .map_or(&[][..], |topic| &topic.records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    encode(&mut body, key, value);
                    if body.len() > 900_000 {
                        break;
                    }
                }
                return Reply::Answer(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest_page(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let after = request.query("after");
        let topic = state.topics.get(request.query("topic"));
        let mut items = Vec::new();
        let mut more = false;
        for (key, (value, offset)) in topic.iter().flat_map(|topic| &topic.newest) {
            if key.as_str() <= after && !after.is_empty() {
                continue;
            }
            if items.len() == 500 {
                more = true;
                break;
            }
            items.push(map([
                ("key", key.as_str().into()),
                ("value", base64(value).as_str().into()),
                ("offset", (*offset).into()),
            ]));
        }
        let end = topic.map_or(0, |topic| topic.records.len() as u64);
        reply(
            200,
            &map([
                ("items", Json::List(items)),
                ("more", Json::Bool(more)),
                ("end", end.into()),
            ]),
        )
    }

    fn join(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        group.expire();
        let name = body.get("member").text();
        let ttl = Duration::from_millis(body.get("ttl_ms").u64().unwrap_or(1_000));
        let known = body.get("generation").u64().unwrap_or(0);
        match group.members.iter_mut().find(|member| member.name == name) {
            Some(member) => {
                member.joined_at = Instant::now();
                member.ttl = ttl;
            }
            None => {
                group.members.push(Member {
                    name: name.to_owned(),
                    joined_at: Instant::now(),
                    ttl,
                });
                group.change();
            }
        }
        if known >= group.generation {
            for part in 0..PARTS {
                if group.owner[part].as_deref() == Some(name) {
                    group.owner[part] = group.target[part].clone();
                }
            }
        }
        let topic = body.get("topics").list()[0].clone();
        let is_own = |part: &usize| {
            group.owner[*part].as_deref() == Some(name) && group.target[*part] == group.owner[*part]
        };
        let parts = (0..PARTS).filter(is_own);
        let row = |part: usize| Json::List(vec![topic.clone(), (part as u64).into(), Json::Int(0)]);
        let parts: Vec<Json> = parts.map(row).collect();
        reply(
            200,
            &map([
                ("generation", group.generation.into()),
                ("ttl_ms", (ttl.as_millis() as u64).into()),
                ("parts", Json::List(parts)),
            ]),
        )
    }

    fn leave(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        let name = body.get("member").text();
        let before = group.members.len();
        group.members.retain(|member| member.name != name);
        if group.members.len() < before {
            group.change();
        }
        reply(200, &map([]))
    }

    fn owners(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(request.query("group").to_owned())
            .or_default();
        group.expire();
        let mut rows = Vec::new();
        for (part, owner) in group.owner.iter().enumerate() {
            if let Some(owner) = owner {
                rows.push(Json::List(vec![
                    "vanillafold.shards".into(),
                    (part as u64).into(),
                    owner.as_str().into(),
                    Json::Int(0),
                ]));
            }
        }
        reply(200, &map([("owners", Json::List(rows))]))
    }
}

impl Topic {
    fn add(&mut self, key: String, value: Vec<u8>) {
        match value.is_empty() {
            true => {
                self.newest.remove(&key);
            }
            false => {
                let offset = self.records.len() as u64;
                self.newest.insert(key.clone(), (value.clone(), offset));
            }
        }
        self.records.push((key, value));
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|member| member.joined_at.elapsed() < member.ttl);
        if self.members.len() < before {
            self.change();
        }
    }

    /// Starts a new generation: a partition stays with its member as far as the shares stay even.
    fn change(&mut self) {
        self.generation += 1;
        self.owner.resize(PARTS, None);
        self.target.resize(PARTS, None);
        let names: Vec<String> = self.members.iter().map(|row| row.name.clone()).collect();
        if names.is_empty() {
            self.owner.fill(None);
            self.target.fill(None);
            return;
        }
        let most = PARTS.div_ceil(names.len());
        let mut counts = vec![0; names.len()];
        for part in 0..PARTS {
            let owner = self.owner[part].as_ref();
            let at = owner.and_then(|owner| names.iter().position(|name| name == owner));
            if at.is_none() {
                self.owner[part] = None;
            }
            self.target[part] = match at {
                Some(at) if counts[at] < most => {
                    counts[at] += 1;
                    Some(names[at].clone())
                }
                _ => None,
            };
        }
        for part in 0..PARTS {
            if self.target[part].is_none() {
                let at = (0..names.len()).min_by_key(|at| counts[*at]).unwrap();
                counts[at] += 1;
                self.target[part] = Some(names[at].clone());
            }
            if self.owner[part].is_none() {
                self.owner[part] = self.target[part].clone();
            }
        }
    }
}

fn decode(mut bytes: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        let (head, rest) = bytes.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*head) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        bytes = rest;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*key_length))?;
        rows.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
    }
    Some(rows)
}

fn encode(body: &mut Vec<u8>, key: &str, value: &[u8]) {
    let length = 1 + key.len() + value.len();
    body.extend_from_slice(&(length as u32).to_be_bytes());
    body.push(key.len() as u8);
    body.extend_from_slice(key.as_bytes());
    body.extend_from_slice(value);
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut value = 0u32;
        for at in 0..3 {
            value = value << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(char::from(DIGITS[(value >> (18 - 6 * at) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
