//! The platform's metadata store: keyed topics of one partition, and groups.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Action, Answer, Request, Service};
use crate::json::{self, quote};
use crate::world::{Link, Links};

/// Limits of the settings file.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Usual latency of a call.
const LATENCY: Duration = Duration::from_millis(3);
const PARTS: u64 = 16;

#[derive(Default)]
struct Topic {
    log: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    /// The last five appends: sequence and answer.
    last: Vec<(u64, String)>,
}

struct Member {
    name: String,
    until: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: Vec<Member>,
    /// The member that holds all partitions: members take over in the order in which they came.
    holder: Option<String>,
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        self.remove(|member| member.until <= now);
    }

    fn remove(&mut self, gone: impl Fn(&Member) -> bool) {
        let before = self.members.len();
        self.members.retain(|member| !gone(member));
        if self.members.len() < before {
            self.generation += 1;
            let held = |name: &String| self.members.iter().any(|member| member.name == *name);
            if !self.holder.as_ref().is_some_and(held) {
                self.holder = self.members.first().map(|member| member.name.clone());
            }
        }
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
    refused_records: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.add(key.to_owned(), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    /// Returns the name of the daemon that owns the shard.
    pub fn owner(&self) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.values_mut().next()?;
        group.expire();
        Some(group.holder.as_ref()?.split('/').nth(1)?.to_owned())
    }

    /// Returns how many appends were rejected because a record was larger than the store takes.
    pub fn refused_records(&self) -> u64 {
        self.state.lock().unwrap().refused_records
    }

    fn append(&self, request: &Request) -> Answer {
        let name = request.query_text("topic").unwrap_or_default();
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((head, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return Answer::new(400, "{\"error\":\"truncated record\"}");
            };
            if length > RECORD_BYTES {
                self.state.lock().unwrap().refused_records += 1;
                return Answer::new(400, "{\"error\":\"a record is larger than record_bytes\"}");
            }
            let key_length = usize::from(record.first().copied().unwrap_or(0));
            let Some((key, value)) = record.get(1..).and_then(|r| r.split_at_checked(key_length))
            else {
                return Answer::new(400, "{\"error\":\"malformed record\"}");
            };
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = tail;
        }
        if request.body.len() > CALL_BYTES {
            return Answer::new(400, "{\"error\":\"the call is larger than call_bytes\"}");
        }
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name).or_default();
        let end = topic.log.len() as u64;
        if request.query_number("at").is_some_and(|at| at != end) {
            return Answer::new(412, format!("{{\"end\":{end}}}"));
        }
        let stored = format!(
            "{{\"offset\":{end},\"end\":{}}}",
            end + records.len() as u64
        );
        if let Some(producer) = request.query_text("producer") {
            let epoch = request.query_number("epoch").unwrap_or(0);
            let sequence = request.query_number("sequence").unwrap_or(0);
            let known = topic.producers.entry(producer).or_default();
            if epoch < known.epoch {
                return Answer::new(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    sequence,
                    last: Vec::new(),
                };
            } else if let Some(row) = known.last.iter().find(|row| row.0 == sequence) {
                return Answer::new(200, row.1.clone());
            } else if !records.is_empty() && sequence != known.sequence + 1 {
                let expected = known.sequence + 1;
                return Answer::new(
                    409,
                    format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}"),
                );
            }
            if !records.is_empty() {
                known.sequence = sequence;
                known.last.push((sequence, stored.clone()));
                if known.last.len() > 5 {
                    known.last.remove(0);
                }
            }
        }
        for (key, value) in records {
            topic.add(key, value);
        }
        self.changed.notify_all();
        Answer::new(200, stored)
    }

    fn read(&self, request: &Request, links: &Links, daemon: usize) -> Answer {
        let name = request.query_text("topic").unwrap_or_default();
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.topics.entry(name.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.log.len() > from || left.is_zero() {
                let mut body = (topic.log.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in topic.log.iter().skip(from) {
                    let value = links.rewrite(value, daemon);
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(&value);
                    if body.len() > 900_000 {
                        break;
                    }
                }
                return Answer::new(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, links: &Links, daemon: usize) -> Answer {
        let name = request.query_text("topic").unwrap_or_default();
        let after = request.query_text("after").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name).or_default();
        let mut items = Vec::new();
        let mut more = false;
        let mut bytes = 0;
        for (key, (value, offset)) in topic.newest.iter().filter(|row| *row.0 > after) {
            if items.len() == 500 || bytes > 700_000 {
                more = true;
                break;
            }
            let value = base64(&links.rewrite(value, daemon));
            bytes += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}",
                quote(key)
            ));
        }
        let end = topic.log.len();
        let items = items.join(",");
        Answer::new(
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"),
        )
    }

    fn join(&self, request: &Request) -> Answer {
        let Some(body) = json::parse(&request.body) else {
            return Answer::new(400, "{}");
        };
        let name = body.text("member").unwrap_or("").to_owned();
        let ttl = Duration::from_millis(body.number("ttl_ms").unwrap_or(1_000));
        let mut state = self.state.lock().unwrap();
        let group = body.text("group").unwrap_or("").to_owned();
        let group = state.groups.entry(group).or_default();
        group.expire();
        let until = Instant::now() + ttl;
        match group.members.iter_mut().find(|member| member.name == name) {
            Some(member) => member.until = until,
            None => {
                group.members.push(Member {
                    name: name.clone(),
                    until,
                });
                group.generation += 1;
                group.holder.get_or_insert(name.clone());
            }
        }
        let parts: Vec<String> = match group.holder.as_ref() == Some(&name) {
            true => (0..PARTS)
                .map(|part| format!("[\"shards\",{part},0]"))
                .collect(),
            false => Vec::new(),
        };
        let (generation, parts) = (group.generation, parts.join(","));
        Answer::new(
            200,
            format!("{{\"generation\":{generation},\"parts\":[{parts}]}}"),
        )
    }

    fn leave(&self, request: &Request) -> Answer {
        let Some(body) = json::parse(&request.body) else {
            return Answer::new(400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        let group = body.text("group").unwrap_or("").to_owned();
        let name = body.text("member").unwrap_or("").to_owned();
        state
            .groups
            .entry(group)
            .or_default()
            .remove(|member| member.name == name);
        Answer::new(200, "{}")
    }

    fn owners(&self, request: &Request, links: &Links, daemon: usize) -> Answer {
        let mut state = self.state.lock().unwrap();
        let group = request.query_text("group").unwrap_or_default();
        let group = state.groups.entry(group).or_default();
        group.expire();
        let rows: Vec<String> = match &group.holder {
            Some(holder) => {
                let holder = quote(&links.rewrite_member(holder, daemon));
                (0..PARTS)
                    .map(|part| format!("[\"shards\",{part},{holder},0]"))
                    .collect()
            }
            None => Vec::new(),
        };
        Answer::new(200, format!("{{\"owners\":[{}]}}", rows.join(",")))
    }
}

impl Topic {
    fn add(&mut self, key: String, value: Vec<u8>) {
        let offset = self.log.len() as u64;
        match value.is_empty() {
            true => {
                self.newest.remove(&key);
            }
            false => {
                self.newest.insert(key.clone(), (value.clone(), offset));
            }
        }
        self.log.push((key, value));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= part.len() {
                true => out.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// The store as one daemon reaches it.
pub struct StoreService {
    pub store: Arc<Store>,
    pub links: Arc<Links>,
    pub daemon: usize,
}

impl Service for StoreService {
    fn answer(&self, request: &Request) -> Action {
        std::thread::sleep(LATENCY);
        let (store, links) = (&self.store, &self.links);
        Action::Answer(match request.path.as_str() {
            "/log-append" => store.append(request),
            "/log-read" => store.read(request, links, self.daemon),
            "/log-newest" => store.newest(request, links, self.daemon),
            "/log-join" => store.join(request),
            "/log-leave" => store.leave(request),
            "/log-owners" => store.owners(request, links, self.daemon),
            _ => Answer::new(404, "{}"),
        })
    }

    fn wait_for_link(&self) {
        self.links.wait(Link::to_platform(self.daemon));
    }
}
