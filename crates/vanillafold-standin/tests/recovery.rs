//! Recovery of daemons, run as real processes: log records that they need were dropped, or the
//! platform is unavailable.

mod common;

use std::env;
use std::fs;
use std::time::Duration;

use common::{block_on, headers, request};
use http::Method;
use vanillafold::state::{Author, CatalogueChange, CatalogueRecord, MAX_CHUNK_BYTES, Stream};
use vanillafold_standin::rig::{
    Child, Cluster, DaemonSpec, KeyWithSecret, Layout, RigError, Signal, built_programs,
    reserve_rig_addresses,
};
use vanillafold_types::{Incarnation, Millis, Offset, ResultCode, Sequence};
use vanillafold_wire::platform::{HttpPlatform, PlatformLog};

const POOLS: [&str; 1] = ["quotes"];
const CATALOGUE: &str = "\
[pool quotes]
owner = ops@shop.example
class = normal

[queue opening-hours]
owner = ops@shop.example
class = normal
pool = quotes
open = yes

[team cafes]
owner = ops@shop.example
class = normal
limit = 4

[queue bookings]
owner = ops@shop.example
class = normal
pool = quotes
teams = cafes
";
/// The counter of log reads that found that the next record was dropped.
const RECORDS_DROPPED: &str = "vanillafold_control_failures_total{what=\"records_dropped\"}";
const SNAPSHOTS_WRITTEN: &str = "vanillafold_snapshots_written_total";
/// The length of the key ids that [`append_withdrawals`] adds to the state, in bytes.
const KEY_BYTES: usize = 60;
/// The time limit of each wait: so long that only a defect exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);

// --- Fixtures ----------------------------------------------------------------------------------

fn start(rig: u8, zones: u8, daemons: u8) -> Cluster {
    let programs = built_programs();
    reserve_rig_addresses(rig);
    let directory = env::temp_dir().join(format!("vanillafold-recovery-{rig}"));
    let layout = Layout::new(rig, zones, daemons, &POOLS, 1);
    Cluster::start(layout, &[], CATALOGUE, &directory, &programs).expect("a cluster")
}

fn daemon_specs(cluster: &Cluster) -> Vec<DaemonSpec> {
    cluster.layout.daemons().cloned().collect()
}

/// Starts a cluster whose log keeps 200 records and has dropped the records of the catalogue; a
/// snapshot has been written.
fn start_with_dropped_records(rig: u8, daemons: u8) -> Cluster {
    let cluster = start(rig, 1, daemons);
    let faults = "retention_records=200\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");
    append_invalid_records(&cluster, "control", 250);
    append_invalid_records(&cluster, "catalogue", 250);
    wait_for(&cluster, "a snapshot", |cluster| {
        snapshots_written(cluster) > 0
    });
    cluster
}

/// Appends `records` records to a stream that are not valid, so that they change no state.
fn append_invalid_records(cluster: &Cluster, stream: &str, records: usize) {
    for _ in 0..records {
        let path = format!("/log/{stream}");
        cluster
            .call(Method::POST, cluster.layout.platform, &path, "no record")
            .expect("an append");
    }
}

/// Appends `records` valid records that each withdraw a key with a long id, which makes the state
/// larger.
fn append_withdrawals(cluster: &Cluster, records: u64) {
    let platform = cluster.layout.platform;
    block_on(async move {
        let platform = HttpPlatform::new(platform, Millis::new(3_000));
        for number in 1..=records {
            let record = CatalogueRecord {
                author: Author {
                    id: "grower".parse().expect("an author"),
                    incarnation: Incarnation::new(1),
                },
                sequence: Sequence::new(number),
                as_of: Offset::new(1),
                change: CatalogueChange::WithdrawKey(
                    format!("{number:0KEY_BYTES$}").parse().expect("a key's id"),
                ),
            };
            let bytes = record.encode().expect("a small record").into();
            let appended = platform.append(Stream::Catalogue.as_str(), bytes).await;
            appended.expect("an append");
        }
    });
}

fn is_ready(cluster: &Cluster, spec: &DaemonSpec) -> bool {
    let ready = cluster.call(Method::GET, spec.admin_address, "/ready", "");
    ready.is_ok()
}

/// Returns the value of `name` on the state page; empty if the daemon does not answer.
fn state_value(cluster: &Cluster, spec: &DaemonSpec, name: &str) -> String {
    let page = cluster.call(Method::GET, spec.admin_address, "/state", "");
    let page = page.unwrap_or_default();
    let prefix = format!("{name}=");
    let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
    value.unwrap_or_default().to_owned()
}

/// Returns the sum of a counter over all its labels; 0 if the daemon does not answer.
fn counter_sum(cluster: &Cluster, spec: &DaemonSpec, name: &str) -> u64 {
    let page = cluster.call(Method::GET, spec.admin_address, "/metrics", "");
    let page = page.unwrap_or_default();
    let values = page.lines().filter(|line| line.starts_with(name));
    values
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn snapshots_written(cluster: &Cluster) -> u64 {
    let daemon_specs = daemon_specs(cluster);
    daemon_specs
        .iter()
        .map(|spec| counter_sum(cluster, spec, SNAPSHOTS_WRITTEN))
        .sum()
}

fn wait_for(cluster: &Cluster, what: &str, condition: impl FnMut(&Cluster) -> bool) {
    let waited: Result<(), RigError> = cluster.wait_until(what, TIMEOUT, condition);
    waited.unwrap_or_else(|error| panic!("{error}"));
}

fn have_same_state(cluster: &Cluster, a: &DaemonSpec, b: &DaemonSpec) -> bool {
    ["catalogue_next", "control_next", "digest"]
        .iter()
        .all(|name| {
            let value = state_value(cluster, a, name);
            !value.is_empty() && value == state_value(cluster, b, name)
        })
}

/// Sends a request without a key to the open queue; returns the result code, or `u16::MAX` if none
/// was received.
fn result_code(spec: &DaemonSpec) -> u16 {
    send_request(spec, "/queues/opening-hours/today", &[])
}

/// Sends a request with a key to the queue that admits one team; returns the result code, or
/// `u16::MAX` if none was received.
fn result_code_with_key(spec: &DaemonSpec, key: &KeyWithSecret) -> u16 {
    let credential = format!("Bearer {}", key.text);
    let headers = [("authorization", credential.as_str())];
    send_request(spec, "/queues/bookings/today", &headers)
}

fn send_request(spec: &DaemonSpec, path: &str, pairs: &[(&'static str, &str)]) -> u16 {
    let answer = block_on(request(
        spec.caller_address,
        Method::GET,
        path,
        &headers(pairs),
        "",
    ));
    let Ok(answer) = answer else {
        return u16::MAX;
    };
    let code = answer.headers().get("vf-result-code");
    code.and_then(|code| code.to_str().ok()?.parse().ok())
        .unwrap_or(u16::MAX)
}

fn is_answered(spec: &DaemonSpec) -> bool {
    result_code(spec) == ResultCode::Answered.number()
}

/// Starts a daemon of the cluster with a platform address at which nothing listens.
fn start_without_platform(cluster: &Cluster, spec: &DaemonSpec) -> Child {
    let path = cluster.directory().join(format!("{}.ini", spec.name));
    let text = fs::read_to_string(&path).expect("settings");
    let platform = cluster.layout.platform;
    let nobody = format!("{}:9", platform.ip());
    let text = text.replace(&platform.to_string(), &nobody);
    let path = cluster.directory().join(format!("{}-cut.ini", spec.name));
    fs::write(&path, text).expect("written settings");
    let arguments = [path.display().to_string()];
    let program = cluster.program_path("vanillafold");
    Child::start(&spec.name, &program, &arguments, cluster.directory()).expect("a daemon")
}

// --- Snapshots ---------------------------------------------------------------------------------

#[test]
fn a_daemon_starts_from_a_snapshot_when_the_first_records_were_dropped() {
    // Arrange
    let mut cluster = start_with_dropped_records(81, 3);
    let daemons = daemon_specs(&cluster);

    // Act
    cluster.kill_daemon(&daemons[0].name).expect("killed");
    cluster.start_daemon(&daemons[0].name).expect("started");

    // Assert
    wait_for(&cluster, "the start", |cluster| {
        is_ready(cluster, &daemons[0])
    });
    wait_for(&cluster, "the same state", |cluster| {
        have_same_state(cluster, &daemons[0], &daemons[1])
    });
    wait_for(&cluster, "an answer", |_| is_answered(&daemons[0]));
}

#[test]
fn every_daemon_starts_from_a_snapshot_when_no_peer_is_left() {
    // Arrange
    let mut cluster = start(82, 1, 2);
    let daemons = daemon_specs(&cluster);
    let faults = "retention_records=200\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");
    append_invalid_records(&cluster, "catalogue", 250);
    append_invalid_records(&cluster, "control", 250);
    wait_for(&cluster, "a snapshot", |cluster| {
        snapshots_written(cluster) > 0
    });

    // Act: all daemons are killed at once and started again.
    for daemon in &daemons {
        cluster.kill_daemon(&daemon.name).expect("killed");
    }
    for daemon in &daemons {
        cluster.start_daemon(&daemon.name).expect("started");
    }

    // Assert
    wait_for(&cluster, "the start", |cluster| {
        daemons.iter().all(|daemon| is_ready(cluster, daemon))
    });
    wait_for(&cluster, "an answer", |_| is_answered(&daemons[0]));
}

#[test]
fn a_daemon_is_not_ready_without_records_and_without_a_snapshot() {
    // Arrange: no daemon runs while the records are dropped.
    let mut cluster = start(83, 1, 2);
    let daemons = daemon_specs(&cluster);
    for daemon in &daemons {
        cluster.kill_daemon(&daemon.name).expect("killed");
    }
    let faults = "retention_records=10\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");
    append_invalid_records(&cluster, "catalogue", 30);

    // Act
    cluster.start_daemon(&daemons[0].name).expect("started");
    wait_for(&cluster, "reads of dropped records", |cluster| {
        counter_sum(cluster, &daemons[0], RECORDS_DROPPED) >= 3
    });

    // Assert
    assert!(!is_ready(&cluster, &daemons[0]));
    assert_eq!(result_code(&daemons[0]), ResultCode::NotReady.number());
}

#[test]
fn a_snapshot_is_written_once_by_the_fleet() {
    // Arrange
    let cluster = start(84, 2, 3);
    let faults = "retention_records=400\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");

    // Act
    append_invalid_records(&cluster, "control", 450);
    wait_for(&cluster, "a snapshot", |cluster| {
        snapshots_written(cluster) > 0
    });
    let daemons = daemon_specs(&cluster);
    wait_for(&cluster, "every daemon to have seen it", |cluster| {
        daemons
            .iter()
            .all(|daemon| state_value(cluster, daemon, "newest_snapshot_control_next") != "none")
    });

    // Assert: two daemons may write one at the same time, but not every daemon writes its own.
    let written = snapshots_written(&cluster);
    assert!(
        written <= 2,
        "{written} snapshots by {} daemons",
        daemons.len()
    );
}

#[test]
fn a_snapshot_is_not_used_if_catalogue_records_after_it_were_dropped() {
    // Arrange: after the snapshot, more catalogue records are appended than the log keeps.
    let mut cluster = start(89, 1, 1);
    let daemon = daemon_specs(&cluster).remove(0);
    let faults = "retention_records=200\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");
    append_invalid_records(&cluster, "catalogue", 250);
    wait_for(&cluster, "a snapshot", |cluster| {
        snapshots_written(cluster) > 0
    });
    cluster.kill_daemon(&daemon.name).expect("killed");
    append_invalid_records(&cluster, "catalogue", 450);

    // Act
    cluster.start_daemon(&daemon.name).expect("started");
    wait_for(&cluster, "reads of dropped records", |cluster| {
        counter_sum(cluster, &daemon, RECORDS_DROPPED) >= 3
    });

    // Assert
    assert!(!is_ready(&cluster, &daemon));
    assert_eq!(state_value(&cluster, &daemon, "catalogue_next"), "1");
    assert_eq!(result_code(&daemon), ResultCode::NotReady.number());
}

#[test]
fn a_suspended_daemon_that_missed_dropped_records_continues_from_a_snapshot() {
    // Arrange
    let mut cluster = start(90, 1, 2);
    let daemons = daemon_specs(&cluster);
    let faults = "retention_records=200\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");

    // Act
    let suspended_name = &daemons[0].name;
    let suspended = cluster.signal_daemon(suspended_name, Signal::Stop);
    suspended.expect("a suspended daemon");
    append_invalid_records(&cluster, "catalogue", 250);
    append_invalid_records(&cluster, "control", 250);
    wait_for(&cluster, "a snapshot", |cluster| {
        counter_sum(cluster, &daemons[1], SNAPSHOTS_WRITTEN) > 0
    });
    let resumed = cluster.signal_daemon(suspended_name, Signal::Continue);
    resumed.expect("a resumed daemon");

    // Assert
    wait_for(&cluster, "the same state", |cluster| {
        have_same_state(cluster, &daemons[0], &daemons[1])
    });
    wait_for(&cluster, "an answer", |_| is_answered(&daemons[0]));
    assert!(counter_sum(&cluster, &daemons[0], RECORDS_DROPPED) > 0);
}

#[test]
fn a_state_of_several_chunks_is_recovered_from_the_log_and_from_peers() {
    // Arrange
    let mut cluster = start(92, 1, 2);
    let daemons = daemon_specs(&cluster);
    let faults = "retention_records=400\nappend_rate=100000";
    cluster.set_platform_faults(faults).expect("faults");
    append_withdrawals(&cluster, 1_500);
    // At most a quarter of the 400 retained records is newer than the latest snapshot, and the next
    // offset of the log is 1,502.
    let min_next = 1_402;
    assert!(
        min_next * KEY_BYTES > MAX_CHUNK_BYTES,
        "one chunk holds the state"
    );
    wait_for(&cluster, "a snapshot of several chunks", |cluster| {
        let next = state_value(cluster, &daemons[0], "newest_snapshot_catalogue_next");
        next.parse::<usize>().is_ok_and(|next| next >= min_next)
    });

    // Act and assert: without peers, from the log.
    for daemon in &daemons {
        cluster.kill_daemon(&daemon.name).expect("killed");
    }
    cluster.start_daemon(&daemons[0].name).expect("started");
    wait_for(&cluster, "the start from the log", |cluster| {
        is_ready(cluster, &daemons[0])
    });
    assert_eq!(state_value(&cluster, &daemons[0], "catalogue_next"), "1502");

    // Act and assert: without the platform, from a peer.
    cluster.set_platform_faults("outage=true").expect("faults");
    cluster.start_daemon(&daemons[1].name).expect("started");
    wait_for(&cluster, "the start through a peer", |cluster| {
        is_ready(cluster, &daemons[1])
    });
    assert!(have_same_state(&cluster, &daemons[0], &daemons[1]));
}

// --- Without the platform ----------------------------------------------------------------------

#[test]
fn a_daemon_starts_through_peers_when_the_platform_is_unavailable() {
    // Arrange
    let mut cluster = start(85, 2, 1);
    let daemons = daemon_specs(&cluster);
    cluster.set_platform_faults("outage=true").expect("faults");

    // Act
    cluster.kill_daemon(&daemons[0].name).expect("killed");
    cluster.start_daemon(&daemons[0].name).expect("started");

    // Assert
    wait_for(&cluster, "the start", |cluster| {
        is_ready(cluster, &daemons[0])
    });
    wait_for(&cluster, "the same state", |cluster| {
        have_same_state(cluster, &daemons[0], &daemons[1])
    });
    wait_for(&cluster, "an answer", |_| is_answered(&daemons[0]));
    cluster.set_platform_faults("outage=false").expect("faults");
    wait_for(&cluster, "the join", |cluster| {
        let page = cluster.call(Method::GET, daemons[0].admin_address, "/state", "");
        page.is_ok_and(|page| page.contains("joined=true"))
    });
}

#[test]
fn a_daemon_without_the_platform_follows_the_log_through_peers() {
    // Arrange
    let mut cluster = start(86, 2, 1);
    let daemons = daemon_specs(&cluster);
    cluster.kill_daemon(&daemons[0].name).expect("killed");
    let _partitioned = start_without_platform(&cluster, &daemons[0]);
    wait_for(&cluster, "the start", |cluster| {
        is_ready(cluster, &daemons[0])
    });

    // Act
    let wider = CATALOGUE.replace("opening-hours", "holidays");
    cluster.publish(&wider).expect("published");

    // Assert
    wait_for(&cluster, "the edit at the peer", |cluster| {
        state_value(cluster, &daemons[1], "catalogue_next") == "3"
    });
    wait_for(
        &cluster,
        "the edit at the daemon without the platform",
        |cluster| have_same_state(cluster, &daemons[0], &daemons[1]),
    );
    wait_for(&cluster, "a fresh log", |cluster| {
        let page = cluster.call(Method::GET, daemons[0].admin_address, "/state", "");
        page.is_ok_and(|page| page.contains("escrow fresh=true"))
    });
}

// --- Withdrawal of a key -----------------------------------------------------------------------

fn withdraw(cluster: &Cluster, spec: &DaemonSpec, key: &str) -> Result<String, RigError> {
    let path = format!("/keys/{key}/withdraw");
    cluster.call(Method::POST, spec.admin_address, &path, "")
}

fn is_withdrawn(spec: &DaemonSpec, key: &KeyWithSecret) -> bool {
    result_code_with_key(spec, key) == ResultCode::WithdrawnKey.number()
}

#[test]
fn a_key_withdrawn_in_an_outage_is_rejected_everywhere_and_recorded_after_it() {
    // Arrange
    let mut cluster = start(87, 2, 2);
    let daemons = daemon_specs(&cluster);
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    wait_for(&cluster, "the key", |_| {
        daemons
            .iter()
            .all(|daemon| result_code_with_key(daemon, &key) == ResultCode::Answered.number())
    });
    cluster.set_platform_faults("outage=true").expect("faults");

    // Act
    withdraw(&cluster, &daemons[0], "cafes-1").expect("withdrawn");

    // Assert: in force on all daemons, also on one that starts during the outage.
    wait_for(&cluster, "the withdrawal", |_| {
        daemons.iter().all(|daemon| is_withdrawn(daemon, &key))
    });
    cluster.kill_daemon(&daemons[3].name).expect("killed");
    cluster.start_daemon(&daemons[3].name).expect("started");
    wait_for(&cluster, "the start", |cluster| {
        is_ready(cluster, &daemons[3])
    });
    wait_for(&cluster, "the withdrawal", |_| {
        is_withdrawn(&daemons[3], &key)
    });
    // Assert: the withdrawal is appended to the log once the platform is available again.
    cluster.set_platform_faults("outage=false").expect("faults");
    wait_for(&cluster, "the record", |cluster| {
        daemons
            .iter()
            .all(|daemon| state_value(cluster, daemon, "catalogue_next") == "4")
    });
    wait_for(&cluster, "the last record to be written", |cluster| {
        state_value(cluster, &daemons[0], "records_to_write") == "0"
    });
    assert!(daemons.iter().all(|daemon| is_withdrawn(daemon, &key)));
}

/// The operator was told that the log follows, so another daemon must write it if the one that was
/// asked can't.
#[test]
fn a_key_withdrawn_at_a_daemon_that_is_lost_in_an_outage_is_recorded_after_it() {
    // Arrange
    let mut cluster = start(94, 2, 1);
    let daemons = daemon_specs(&cluster);
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    wait_for(&cluster, "the key", |_| {
        daemons
            .iter()
            .all(|daemon| result_code_with_key(daemon, &key) == ResultCode::Answered.number())
    });
    cluster.set_platform_faults("outage=true").expect("faults");
    let withdrawal = "/keys/cafes-1/withdraw";
    cluster
        .call(Method::POST, daemons[0].admin_address, withdrawal, "")
        .expect("a withdrawal");
    wait_for(&cluster, "the withdrawal at the peer", |_| {
        result_code_with_key(&daemons[1], &key) == ResultCode::WithdrawnKey.number()
    });

    // Act
    cluster.kill_daemon(&daemons[0].name).expect("killed");
    cluster.set_platform_faults("outage=false").expect("faults");
    wait_for(&cluster, "the withdrawal in the log", |cluster| {
        state_value(cluster, &daemons[1], "catalogue_next") == "4"
    });
    cluster.kill_daemon(&daemons[1].name).expect("killed");
    cluster.start_daemon(&daemons[1].name).expect("started");
    wait_for(&cluster, "the start", |cluster| {
        is_ready(cluster, &daemons[1])
    });

    // Assert
    let code = result_code_with_key(&daemons[1], &key);
    assert_eq!(code, ResultCode::WithdrawnKey.number());
}

#[test]
fn a_key_is_withdrawn_only_with_the_operators_credential() {
    // Arrange
    let mut cluster = start(88, 1, 1);
    let daemon = daemon_specs(&cluster).remove(0);
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    let path = "/keys/cafes-1/withdraw";

    // Act
    let wrong = headers(&[("authorization", "Bearer somebody")]);
    let refused = block_on(request(
        daemon.admin_address,
        Method::POST,
        path,
        &wrong,
        "",
    ));
    let misnamed = withdraw(&cluster, &daemon, "no%20name");

    // Assert
    assert_eq!(refused.expect("an answer").status(), 401);
    assert!(misnamed.is_err());
    wait_for(&cluster, "the key", |_| {
        result_code_with_key(&daemon, &key) == ResultCode::Answered.number()
    });
}

#[test]
fn the_operators_tool_starts_from_a_snapshot() {
    // Arrange
    let mut cluster = start_with_dropped_records(103, 2);
    let daemons = daemon_specs(&cluster);

    // Act
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");

    // Assert
    wait_for(&cluster, "the key", |_| {
        result_code_with_key(&daemons[1], &key) == ResultCode::Answered.number()
    });
}
