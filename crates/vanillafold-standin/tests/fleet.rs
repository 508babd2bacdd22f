//! Daemons as real processes: units of a team's limit, claims of request ids, fencing and releasing
//! daemons, and peer connections.

mod common;

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use common::{block_on, headers, request};
use http::{HeaderMap, Method};
use vanillafold_standin::rig::{
    Cluster, DaemonSpec, KeyWithSecret, Layout, Signal, built_programs, reserve_rig_addresses,
};
use vanillafold_types::ResultCode;

const POOLS: [&str; 1] = ["quotes"];
const CATALOGUE: &str = "\
[pool quotes]
owner = ops@shop.example
class = normal

[team cafes]
owner = ops@shop.example
limit = 1

[queue quotes]
owner = ops@shop.example
class = normal
pool = quotes
teams = cafes

[queue bookings]
owner = ops@shop.example
class = normal
pool = quotes
open = yes
";
/// A time-out long enough that only a fault in the code reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a cluster of one zone. Connections to the addresses that `relay_addresses` returns go
/// through relays.
fn start(rig: u8, daemons: u8, relay_addresses: impl Fn(&Layout) -> Vec<SocketAddr>) -> Cluster {
    start_layout(
        rig,
        Layout::new(rig, 1, daemons, &POOLS, 1),
        relay_addresses,
    )
}

fn start_layout(
    rig: u8,
    layout: Layout,
    relay_addresses: impl Fn(&Layout) -> Vec<SocketAddr>,
) -> Cluster {
    reserve_rig_addresses(rig);
    let directory = env::temp_dir().join(format!("vanillafold-fleet-{rig}"));
    let relay_addresses = relay_addresses(&layout);
    let programs = built_programs();
    Cluster::start(layout, &relay_addresses, CATALOGUE, &directory, &programs).expect("a cluster")
}

fn daemon_specs(cluster: &Cluster) -> Vec<DaemonSpec> {
    cluster.layout.daemons().cloned().collect()
}

/// Sends work that takes `work_ms` with a deadline of `deadline_ms` and returns the result code.
fn work(spec: &DaemonSpec, key: &KeyWithSecret, work_ms: u64, deadline_ms: u64) -> String {
    let answer = block_on(request(
        spec.caller_address,
        Method::GET,
        "/queues/quotes/work",
        &headers(&[
            ("authorization", &format!("Bearer {}", key.text)),
            ("work-ms", &work_ms.to_string()),
            ("answer-bytes", "100"),
            ("vf-deadline-ms", &deadline_ms.to_string()),
        ]),
        "",
    ));
    code(answer.expect("an answer").headers())
}

fn code(headers: &HeaderMap) -> String {
    let code = headers.get("vf-result-code").expect("a result code");
    code.to_str().expect("a number").to_owned()
}

fn number(code: ResultCode) -> String {
    code.number().to_string()
}

/// Returns the line about `peer` of a daemon's state page; empty if there is none.
fn peer_line(cluster: &Cluster, spec: &DaemonSpec, peer: &str) -> String {
    let page = cluster.call(Method::GET, spec.admin_address, "/state", "");
    let prefix = format!("peer {peer} ");
    let page = page.unwrap_or_default();
    let line = page.lines().find(|line| line.starts_with(&prefix));
    line.unwrap_or_default().to_owned()
}

/// If a request whose deadline passed gave its unit back while the target still worked on it, the
/// team would have more running than its limit.
#[test]
fn work_after_its_deadline_holds_its_unit_until_the_target_ends_it() {
    let mut cluster = start(101, 1, |_| Vec::new());
    let daemon = daemon_specs(&cluster).remove(0);
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    let warm_up = |_: &Cluster| work(&daemon, &key, 0, 1_000) == number(ResultCode::Answered);
    cluster
        .wait_until("the key", TIMEOUT, warm_up)
        .expect("the key in force");

    let timed_out = work(&daemon, &key, 5_000, 300);
    let refused = work(&daemon, &key, 0, 300);
    let answered = work(&daemon, &key, 0, 9_500);

    assert_eq!(timed_out, number(ResultCode::DeadlineAfterSend));
    assert_eq!(refused, number(ResultCode::TeamLimit));
    assert_eq!(answered, number(ResultCode::Answered));
}

/// A truncated answer does not show that the target has ended the work, so it must not return the
/// unit of a request whose deadline passed.
#[test]
fn a_truncated_answer_does_not_return_the_unit_of_lingering_work() {
    let mut cluster = start(105, 1, |_| Vec::new());
    let daemon = daemon_specs(&cluster).remove(0);
    let runner = cluster.layout.runners().next().cloned().expect("a runner");
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    let warm_up = |_: &Cluster| work(&daemon, &key, 0, 1_000) == number(ResultCode::Answered);
    cluster
        .wait_until("the key", TIMEOUT, warm_up)
        .expect("the key in force");

    cluster.set_runner_mode(&runner, "cut").expect("a mode");
    let timed_out = work(&daemon, &key, 1_000, 300);
    cluster.set_runner_mode(&runner, "normal").expect("a mode");
    let refused = work(&daemon, &key, 0, 4_000);

    assert_eq!(timed_out, number(ResultCode::DeadlineAfterSend));
    assert_eq!(refused, number(ResultCode::TeamLimit));
}

/// Sends a non-idempotent request with this id; returns the result code and the outcome.
fn book(spec: &DaemonSpec, id: &str) -> (String, String) {
    let answer = block_on(request(
        spec.caller_address,
        Method::POST,
        "/queues/bookings/work",
        &headers(&[("vf-request-id", id), ("vf-deadline-ms", "1000")]),
        "",
    ));
    let answer = answer.expect("an answer");
    let outcome = answer.headers().get("vf-outcome").expect("an outcome");
    let outcome = outcome.to_str().expect("text").to_owned();
    (code(answer.headers()), outcome)
}

/// The daemon that takes the repeat has started again and reaches neither of the two that know of
/// the first delivery.
#[test]
fn a_repeat_is_not_called_not_run_by_a_daemon_that_cannot_know_it() {
    let mut cluster = start_layout(106, Layout::new(106, 3, 1, &POOLS, 1), |_| Vec::new());
    let daemons = daemon_specs(&cluster);
    cluster.kill_daemon(&daemons[2].name).expect("killed");
    let first = book(&daemons[0], "booking-1");
    for daemon in &daemons[..2] {
        let frozen = cluster.signal_daemon(&daemon.name, Signal::Stop);
        frozen.expect("a signal");
    }
    cluster.start_daemon(&daemons[2].name).expect("started");
    cluster.wait_serving(&daemons[2].name).expect("ready");

    let repeat = book(&daemons[2], "booking-1");

    let answered = number(ResultCode::Answered);
    assert_eq!(first, (answered, "answer".to_owned()));
    let unavailable = number(ResultCode::ClaimUnavailable);
    assert_eq!(repeat, (unavailable, "may-have-run".to_owned()));
}

/// An operator may fence a lost daemon once and may release only what there is to release; the
/// second command, a release without an earlier incarnation and an unknown name are refused.
#[test]
fn operators_fence_lost_daemons_and_other_commands_are_refused() {
    let mut cluster = start(104, 2, |_| Vec::new());
    let lost = daemon_specs(&cluster).remove(1);
    let run_daemon_command = |cluster: &Cluster, command: &str, name: &str| {
        cluster.run_vanillafoldctl(&["daemon", command], &["--daemon", name])
    };
    cluster.kill_daemon(&lost.name).expect("killed");

    let fenced = run_daemon_command(&cluster, "fence", &lost.name);
    let again = run_daemon_command(&cluster, "fence", &lost.name);
    let released = run_daemon_command(&cluster, "release", &lost.name);
    let unknown = run_daemon_command(&cluster, "release", "nobody");

    assert_eq!(fenced.expect("fenced"), "fenced at offset 3\n");
    let refusal = again.expect_err("fenced already").to_string();
    assert!(refusal.contains("refused at offset 4: 681 "), "{refusal}");
    let refusal = released.expect_err("nothing earlier").to_string();
    assert!(refusal.contains("refused at offset 5: 682 "), "{refusal}");
    let refusal = unknown.expect_err("unknown").to_string();
    assert!(
        refusal.contains("no daemon called nobody has joined"),
        "{refusal}"
    );
}

/// A daemon that kept to the address in its settings would lose its peer for good when the peer's
/// VM is replaced: it must also try the address in the platform's list of VMs.
#[test]
fn peers_are_reached_at_the_address_in_the_platforms_list() {
    let peer_of = |layout: &Layout| layout.daemons().nth(1).cloned().expect("two daemons");
    let cluster = start(102, 2, |layout| vec![peer_of(layout).peer_address]);
    let daemon = daemon_specs(&cluster).remove(0);
    let peer = peer_of(&cluster.layout);
    let is_connected = |wanted: bool| {
        let wanted = format!("connected={wanted}");
        let (daemon, name) = (daemon.clone(), peer.name.clone());
        move |cluster: &Cluster| peer_line(cluster, &daemon, &name).contains(&wanted)
    };
    cluster
        .wait_until("the peer", TIMEOUT, is_connected(true))
        .expect("a connection by the settings");

    // The address from the settings stops answering, as after a replacement of the peer's VM.
    cluster
        .set_link_mode(peer.peer_address, "silent")
        .expect("a link");
    cluster
        .wait_until("the loss of the peer", TIMEOUT, is_connected(false))
        .expect("a silent connection is detected");
    let line = format!(
        "{} {} rack entry {} live\n",
        peer.name, peer.zone, peer.peer_address
    );
    let platform = cluster.layout.platform;
    cluster
        .call(Method::POST, platform, "/control/vms", &line)
        .expect("a list");

    cluster
        .wait_until("the peer", TIMEOUT, is_connected(true))
        .expect("a connection by the list");
}
