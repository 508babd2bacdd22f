//! The platform's metadata store: compacted logs and groups, as the users' page describes them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request};
use crate::json::{Json, number, object, text};

/// Largest record, in bytes (`record_bytes` of the settings).
const RECORD_BYTES: usize = 262_144;
/// Number of partitions of a topic (`parts` of the settings).
const PARTS: u64 = 16;
/// Time an append takes (`append_ms` of the settings).
const APPEND_TIME: Duration = Duration::from_millis(3);
/// Records that a page of the newest ones has at most.
const PAGE_RECORDS: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

struct Producer {
    epoch: u64,
    sequence: u64,
    /// The last appends: sequence, offset and end.
    last: Vec<(u64, u64, u64)>,
}

struct Member {
    seen: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topic: String,
    members: BTreeMap<String, Member>,
    /// The owner of each partition.
    owners: BTreeMap<u64, String>,
}

impl Group {
    fn expire(&mut self) {
        let gone: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.seen.elapsed() > member.ttl)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.generation += 1;
            self.owners.retain(|_, owner| owner != name);
            self.deal();
        }
    }

    fn target(&self, part: u64) -> Option<String> {
        let count = self.members.len() as u64;
        let at = usize::try_from(part.checked_rem(count)?).ok()?;
        self.members.keys().nth(at).cloned()
    }

    /// Gives the partitions without an owner to the members that shall have them.
    fn deal(&mut self) {
        for part in 0..PARTS {
            if !self.owners.contains_key(&part)
                && let Some(target) = self.target(part)
            {
                self.owners.insert(part, target);
            }
        }
    }

    fn join(&mut self, name: &str, ttl: Duration) -> Vec<u64> {
        self.expire();
        let member = Member {
            seen: Instant::now(),
            ttl,
        };
        if self.members.insert(name.to_owned(), member).is_none() {
            self.generation += 1;
        }
        // The member learns the generation with this answer and keeps only what it shall have.
        for part in 0..PARTS {
            let is_own = self.owners.get(&part).is_some_and(|owner| owner == name);
            if is_own && self.target(part).as_deref() != Some(name) {
                self.owners.remove(&part);
            }
        }
        self.deal();
        let own = self.owners.iter().filter(|row| row.1 == name);
        own.map(|row| *row.0).collect()
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    producers: BTreeMap<(String, String), Producer>,
    groups: BTreeMap<String, Group>,
    /// Appends that were rejected because a record is too long.
    too_long: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn answer(status: u16, body: &Json) -> Reply {
    Reply::Answer(status, body.to_text().into_bytes())
}

impl Store {
    /// Appends a record to a compacted log; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .add(record);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        let row = state.topics.get(topic)?.newest.get(key)?;
        Some(row.0.clone())
    }

    /// Returns the member that owns partition 0 in the group of this name.
    pub fn owner(&self, group: &str) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.get_mut(group)?;
        group.expire();
        group.owners.get(&0).cloned()
    }

    /// Returns how many appends had a record that is too long.
    pub fn too_long(&self) -> u64 {
        self.state.lock().unwrap().too_long
    }

    fn append(&self, request: &Request) -> Reply {
        std::thread::sleep(APPEND_TIME);
        let topic = request.query("topic").unwrap_or("").to_owned();
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((head, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return answer(400, &object([("error", text("truncated"))]));
            };
            records.push(record.to_vec());
            rest = tail;
        }
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        if records.iter().any(|record| record.len() > RECORD_BYTES) {
            state.too_long += 1;
            return answer(400, &object([("error", text("a record is too long"))]));
        }
        let log = state.topics.entry(topic.clone()).or_default();
        let end = log.records.len() as u64;
        if let Some(at) = request.query("at").and_then(|at| at.parse::<u64>().ok())
            && at != end
        {
            return answer(412, &object([("end", number(end))]));
        }
        if let Some(name) = request.query("producer") {
            let figure = |name| {
                request
                    .query(name)
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let (epoch, sequence) = (
                figure("epoch").unwrap_or(0),
                figure("sequence").unwrap_or(0),
            );
            let key = (topic.clone(), name.to_owned());
            let known = state
                .producers
                .get(&key)
                .map(|row| (row.epoch, row.sequence));
            match known {
                Some((known, _)) if epoch < known => {
                    return answer(409, &object([("reason", text("fenced"))]));
                }
                Some((known, last)) if epoch == known && sequence != last + 1 => {
                    let row = &state.producers[&key];
                    if let Some(row) = row.last.iter().find(|row| row.0 == sequence) {
                        let fields = [("offset", number(row.1)), ("end", number(row.2))];
                        return answer(200, &object(fields));
                    }
                    let fields = [("reason", text("seq")), ("sequence", number(last + 1))];
                    return answer(409, &object(fields));
                }
                _ => {}
            }
            let row = state.producers.entry(key).or_insert(Producer {
                epoch,
                sequence,
                last: Vec::new(),
            });
            if row.epoch != epoch {
                row.last.clear();
            }
            row.epoch = epoch;
            row.sequence = sequence;
            row.last.push((sequence, end, end + records.len() as u64));
            if row.last.len() > 5 {
                row.last.remove(0);
            }
        }
        for record in records {
            log.add(record);
        }
        let fields = [
            ("offset", number(end)),
            ("end", number(log.records.len() as u64)),
        ];
        self.changed.notify_all();
        answer(200, &object(fields))
    }

    fn read(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let figure = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = usize::try_from(figure("from").unwrap_or(0)).unwrap_or(usize::MAX);
        let until = Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0));
        let max_bytes = usize::try_from(figure("max_kb").unwrap_or(1_024)).unwrap_or(1_024) * 1_024;
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state
                .topics
                .get(&topic)
                .map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end <= from && !left.is_zero() {
                state = self.changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let mut body = (end as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            let records = state
                .topics
                .get(&topic)
                .map_or(&[][..], |topic| &topic.records);
            for record in records.iter().skip(from) {
                if body.len() + record.len() > max_bytes {
                    break;
                }
                body.extend_from_slice(&u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
                body.extend_from_slice(record);
            }
            return Reply::Answer(200, body);
        }
    }

    fn page(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let state = self.state.lock().unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(&topic).unwrap_or(&empty);
        let after = request.query("after");
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, offset)) in &topic.newest {
            if after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            if items.len() >= PAGE_RECORDS || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(object([
                ("key", text(key)),
                ("value", Json::Text(encode_base64(value))),
                ("offset", number(*offset)),
            ]));
        }
        let end = number(topic.records.len() as u64);
        answer(
            200,
            &object([
                ("items", Json::List(items)),
                ("more", Json::Bool(more)),
                ("end", end),
            ]),
        )
    }

    fn group(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let name = match request.query("group") {
            Some(name) => name.to_owned(),
            None => body.get("group").text().to_owned(),
        };
        let group = state.groups.entry(name).or_default();
        let member = body.get("member").text();
        match request.path.as_str() {
            "/log-join" => {
                if let Json::List(topics) = body.get("topics")
                    && let Some(topic) = topics.first()
                {
                    group.topic = topic.text().to_owned();
                }
                let ttl = Duration::from_millis(body.get("ttl_ms").number().unwrap_or(1_000));
                let parts = group.join(member, ttl);
                let row =
                    |part: &u64| Json::List(vec![text(&group.topic), number(*part), number(0)]);
                let rows = parts.iter().map(row).collect();
                let generation = number(group.generation);
                answer(
                    200,
                    &object([("generation", generation), ("parts", Json::List(rows))]),
                )
            }
            "/log-leave" => {
                group.remove(member);
                answer(200, &object([]))
            }
            _ => {
                group.expire();
                let row = |(part, owner): (&u64, &String)| {
                    Json::List(vec![
                        text(&group.topic),
                        number(*part),
                        text(owner),
                        number(0),
                    ])
                };
                let rows = group.owners.iter().map(row).collect();
                answer(200, &object([("owners", Json::List(rows))]))
            }
        }
    }
}

impl Topic {
    fn add(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let split = record
            .split_first()
            .and_then(|(length, rest)| rest.split_at_checked(usize::from(*length)));
        if let Some((key, value)) = split
            && let Ok(key) = std::str::from_utf8(key)
        {
            match value.is_empty() {
                true => {
                    self.newest.remove(key);
                }
                false => {
                    self.newest.insert(key.to_owned(), (value.to_vec(), offset));
                }
            }
        }
        self.records.push(record);
    }
}

/// The store as one daemon reaches it.
pub struct Door {
    pub store: Arc<Store>,
    /// Whether the store leaves the daemon's calls unanswered, and does nothing for them.
    pub is_silent: Arc<AtomicBool>,
}

impl Handler for Door {
    fn handle(&self, request: Request) -> Reply {
        if self.is_silent.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs(30));
            return Reply::Close;
        }
        self.store.handle(request)
    }
}

impl Handler for Store {
    fn handle(&self, request: Request) -> Reply {
        match request.path.as_str() {
            "/log-append" => self.append(&request),
            "/log-read" => self.read(&request),
            "/log-newest" => self.page(&request),
            "/log-join" | "/log-leave" | "/log-owners" => self.group(&request),
            _ => answer(404, &object([])),
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * at) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
