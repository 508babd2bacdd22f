//! What daemons owe to each other and to a team's limit, over real processes.

mod common;

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use common::{block_on, headers, request};
use http::{HeaderMap, Method};
use vanillafold_standin::rig::{
    Cluster, DaemonSpec, KeyWithSecret, Layout, built_programs, reserve_rig_addresses,
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
";
/// Long enough that only a fault of the code reaches it.
const LIMIT: Duration = Duration::from_secs(60);

fn start(rig: u8, daemons: u8, relayed: impl Fn(&Layout) -> Vec<SocketAddr>) -> Cluster {
    reserve_rig_addresses(rig);
    let directory = env::temp_dir().join(format!("vanillafold-fleet-{rig}"));
    let layout = Layout::new(rig, 1, daemons, &POOLS, 1);
    let relayed = relayed(&layout);
    let programs = built_programs();
    Cluster::start(layout, &relayed, CATALOGUE, &directory, &programs).expect("a cluster")
}

fn places(cluster: &Cluster) -> Vec<DaemonSpec> {
    cluster.layout.daemons().cloned().collect()
}

/// Sends work that takes `work_ms`, waits for at most `deadline_ms`; gives the result code.
fn work(place: &DaemonSpec, key: &KeyWithSecret, work_ms: u64, deadline_ms: u64) -> String {
    let answer = block_on(request(
        place.caller_address,
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

/// The part of a daemon's state page that tells of `peer`.
fn peer_line(cluster: &Cluster, place: &DaemonSpec, peer: &str) -> String {
    let page = cluster.call(Method::GET, place.admin_address, "/state", "");
    let prefix = format!("peer {peer} ");
    let page = page.unwrap_or_default();
    let line = page.lines().find(|line| line.starts_with(&prefix));
    line.unwrap_or_default().to_owned()
}

#[test]
fn work_that_was_given_up_on_keeps_its_unit_until_its_target_is_done() {
    let mut cluster = start(101, 1, |_| Vec::new());
    let place = places(&cluster).remove(0);
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    let warm_up = |_: &Cluster| work(&place, &key, 0, 1_000) == number(ResultCode::Answered);
    cluster
        .wait_until("the key", LIMIT, warm_up)
        .expect("the key in force");

    let given_up = work(&place, &key, 5_000, 300);
    let refused = work(&place, &key, 0, 300);
    let answered = work(&place, &key, 0, 9_500);

    assert_eq!(given_up, number(ResultCode::DeadlineAfterSend));
    assert_eq!(refused, number(ResultCode::TeamLimit));
    assert_eq!(answered, number(ResultCode::Answered));
}

#[test]
fn an_answer_cut_short_does_not_end_given_up_work() {
    let mut cluster = start(105, 1, |_| Vec::new());
    let place = places(&cluster).remove(0);
    let runner = cluster.layout.runners().next().cloned().expect("a runner");
    let key = cluster.give_key("cafes-1", "cafes").expect("a key");
    let warm_up = |_: &Cluster| work(&place, &key, 0, 1_000) == number(ResultCode::Answered);
    cluster
        .wait_until("the key", LIMIT, warm_up)
        .expect("the key in force");

    cluster.set_runner_mode(&runner, "cut").expect("a mode");
    let given_up = work(&place, &key, 1_000, 300);
    cluster.set_runner_mode(&runner, "normal").expect("a mode");
    let refused = work(&place, &key, 0, 4_000);

    assert_eq!(given_up, number(ResultCode::DeadlineAfterSend));
    assert_eq!(refused, number(ResultCode::TeamLimit));
}

#[test]
fn an_operator_says_that_daemons_are_gone() {
    let mut cluster = start(104, 2, |_| Vec::new());
    let lost = places(&cluster).remove(1);
    let operate = |cluster: &Cluster, command: &str, name: &str| {
        cluster.run_vanillafoldctl(&["daemon", command], &["--daemon", name])
    };
    cluster.kill_daemon(&lost.name).expect("killed");

    let fenced = operate(&cluster, "fence", &lost.name);
    let again = operate(&cluster, "fence", &lost.name);
    let released = operate(&cluster, "release", &lost.name);
    let unknown = operate(&cluster, "release", "nobody");

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

#[test]
fn a_peer_is_reached_where_the_platforms_list_shows_it() {
    let peer_of = |layout: &Layout| layout.daemons().nth(1).cloned().expect("two daemons");
    let cluster = start(102, 2, |layout| vec![peer_of(layout).peer_address]);
    let place = places(&cluster).remove(0);
    let peer = peer_of(&cluster.layout);
    let connected = |wanted: bool| {
        let wanted = format!("connected={wanted}");
        let (place, name) = (place.clone(), peer.name.clone());
        move |cluster: &Cluster| peer_line(cluster, &place, &name).contains(&wanted)
    };
    cluster
        .wait_until("the peer", LIMIT, connected(true))
        .expect("a connection by the settings");

    // What the settings name is silent from now on, as after the peer's VM was replaced.
    cluster
        .set_link_mode(peer.peer_address, "silent")
        .expect("a link");
    cluster
        .wait_until("the silence", LIMIT, connected(false))
        .expect("a silent connection is found out");
    let line = format!(
        "{} {} rack entry {} live\n",
        peer.name, peer.zone, peer.peer_address
    );
    let platform = cluster.layout.platform;
    cluster
        .call(Method::POST, platform, "/control/vms", &line)
        .expect("a list");

    cluster
        .wait_until("the peer", LIMIT, connected(true))
        .expect("a connection by the list");
}
