//! The topics and groups of the metadata store, and its answers.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use super::group::Group;
use super::topic::{Appended, Condition, KeyedRecord, Topic, decode_records, encode_record};
use crate::fleet::http::{Query, empty_response, json_response};

/// The most records in an answer to `GET /log-newest`.
const NEWEST_PAGE_RECORDS: usize = 500;
/// The size of the records in an answer to `GET /log-read` above which no more are added.
const READ_PAGE_BYTES: usize = 900_000;

/// Body of `POST /log-join` and `POST /log-leave`.
#[derive(Deserialize)]
pub(super) struct MembershipBody {
    group: String,
    member: String,
    #[serde(default)]
    topics: Vec<String>,
    #[serde(default)]
    ttl_ms: u64,
    #[serde(default)]
    generation: u64,
}

#[derive(Debug, Default)]
pub(super) struct State {
    /// Sorted by name.
    topics: Vec<(String, Topic)>,
    /// Sorted by name.
    groups: Vec<(String, Group)>,
    /// Since when the times of the groups' members pause.
    paused_at: Option<Instant>,
}

impl State {
    pub(super) fn topic(&mut self, name: &str) -> &mut Topic {
        let found = self.topics.binary_search_by(|row| row.0.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            self.topics
                .insert(index, (name.to_owned(), Topic::default()));
            index
        });
        &mut self.topics[index].1
    }

    /// Returns a group without the members whose time is over.
    pub(super) fn group(&mut self, name: &str) -> &mut Group {
        let found = self.groups.binary_search_by(|row| row.0.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            self.groups
                .insert(index, (name.to_owned(), Group::default()));
            index
        });
        let group = &mut self.groups[index].1;
        if self.paused_at.is_none() {
            group.expire();
        }
        group
    }

    /// Stops or resumes the times of the groups' members.
    pub(super) fn set_paused(&mut self, paused: bool) {
        match (paused, self.paused_at) {
            (true, None) => self.paused_at = Some(Instant::now()),
            (false, Some(since)) => {
                for (_, group) in &mut self.groups {
                    group.extend(since.elapsed());
                }
                self.paused_at = None;
            }
            _ => {}
        }
    }

    pub(super) fn append(&mut self, query: Query<'_>, body: &[u8]) -> Response<Bytes> {
        let Some(records) = decode_records(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let condition = match (query.number("at"), query.text("producer")) {
            (Some(at), _) => Condition::EndOffset(at),
            (None, Some(name)) => Condition::Producer {
                name,
                epoch: query.number("epoch").unwrap_or(0),
                sequence: query.number("sequence").unwrap_or(0),
            },
            (None, None) => Condition::None,
        };
        let topic = self.topic(query.text("topic").unwrap_or_default());
        match topic.append(condition, records) {
            Appended::Stored { offset, end } => {
                json_response(StatusCode::OK, &json!({ "offset": offset, "end": end }))
            }
            Appended::EndMoved { end } => {
                json_response(StatusCode::PRECONDITION_FAILED, &json!({ "end": end }))
            }
            Appended::Fenced => json_response(StatusCode::CONFLICT, &json!({ "reason": "fenced" })),
            Appended::SequenceMismatch { expected } => json_response(
                StatusCode::CONFLICT,
                &json!({ "reason": "seq", "sequence": expected }),
            ),
        }
    }

    /// Answers `GET /log-read` with what there is now.
    pub(super) fn read(
        &mut self,
        query: Query<'_>,
        rewrite: impl Fn(&KeyedRecord) -> KeyedRecord,
    ) -> Response<Bytes> {
        let topic = self.topic(query.text("topic").unwrap_or_default());
        let mut body = topic.end().to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in topic.records_from(query.number("from").unwrap_or(0)) {
            if body.len() > READ_PAGE_BYTES {
                break;
            }
            encode_record(&mut body, &rewrite(record));
        }
        Response::new(Bytes::from(body))
    }

    pub(super) fn newest(
        &mut self,
        query: Query<'_>,
        rewrite: impl Fn(&KeyedRecord) -> KeyedRecord,
    ) -> Response<Bytes> {
        let topic = self.topic(query.text("topic").unwrap_or_default());
        let rows = topic.newest_after(query.text("after").unwrap_or_default());
        let page = rows.iter().take(NEWEST_PAGE_RECORDS);
        let items: Vec<Value> = page
            .map(|row| {
                let record = rewrite(&row.record);
                let value = STANDARD.encode(&record.value);
                json!({ "key": record.key, "value": value, "offset": row.offset })
            })
            .collect();
        let more = rows.len() > items.len();
        let end = topic.end();
        json_response(
            StatusCode::OK,
            &json!({ "items": items, "more": more, "end": end }),
        )
    }

    pub(super) fn join(&mut self, body: &MembershipBody) -> Response<Bytes> {
        let topic = body.topics.first().map_or("", String::as_str);
        let time_to_live = Duration::from_millis(body.ttl_ms);
        let group = self.group(&body.group);
        let partitions = group.join(&body.member, time_to_live, body.generation);
        let rows = partitions
            .iter()
            .map(|partition| json!([topic, partition, 0]));
        let rows: Vec<Value> = rows.collect();
        json_response(
            StatusCode::OK,
            &json!({ "generation": group.generation(), "parts": rows }),
        )
    }

    pub(super) fn leave(&mut self, body: &MembershipBody) -> Response<Bytes> {
        self.group(&body.group).leave(&body.member);
        json_response(StatusCode::OK, &json!({}))
    }

    pub(super) fn owners(
        &mut self,
        query: Query<'_>,
        rewrite: impl Fn(&str) -> String,
    ) -> Response<Bytes> {
        let group = self.group(query.text("group").unwrap_or_default());
        let rows = group
            .owners()
            .map(|(partition, member)| json!(["", partition, rewrite(member), 0]));
        let rows: Vec<Value> = rows.collect();
        json_response(StatusCode::OK, &json!({ "owners": rows }))
    }
}
