//! Tests of the stand-in network: each mode of a link between an HTTP client and a stand-in runner.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{TIMEOUT, any_port, block_on, headers, post_control, wait_until};
use http::{HeaderMap, Method, Response};
use vanillafold_standin::link::{LinkOptions, LinkSpec, LinkStandin};
use vanillafold_standin::runner::{RunnerOptions, RunnerStandin};
use vanillafold_types::{Connections, Slots};
use vanillafold_wire::http::{Client, ClientError};

/// Two links to one runner, and the address that controls them.
struct Network {
    links: Vec<SocketAddr>,
    control_address: SocketAddr,
}

fn start_runner() -> SocketAddr {
    let runner = RunnerStandin::bind(RunnerOptions {
        process: "runner-1".into(),
        vms: vec!["vm-1".parse().expect("a VM")],
        pool: "quotes".parse().expect("a pool"),
        slots: Slots::new(8),
        connections: Connections::new(64),
        first_vm_address: any_port(),
        control_address: any_port(),
        trace: None,
    })
    .expect("free ports");
    let address = runner.addresses()[0];
    monoio::spawn(runner.serve());
    address
}

fn start() -> Network {
    let spec = LinkSpec {
        listen_address: any_port(),
        forward_address: start_runner(),
    };
    let link = LinkStandin::bind(LinkOptions {
        links: vec![spec, spec],
        control_address: any_port(),
    })
    .expect("free ports");
    let links = link.addresses();
    let control_address = link.control_address().expect("an address");
    monoio::spawn(link.serve());
    Network {
        links,
        control_address,
    }
}

impl Network {
    async fn set_mode(&self, body: &str) {
        post_control(self.control_address, "/control", body).await;
    }

    fn client(&self) -> Client {
        Client::new(self.links[0], TIMEOUT)
    }
}

/// Returns the client with a short timeout for its further requests.
fn with_short_timeout(client: Client) -> Client {
    client.with_timeout(Duration::from_millis(100))
}

async fn work(client: &mut Client, bytes: &str) -> Result<Response<Bytes>, ClientError> {
    let headers = headers(&[("answer-bytes", bytes)]);
    client
        .request(Method::POST, "/work", &headers, Bytes::from_static(b"body"))
        .await
}

#[test]
fn a_link_relays_both_directions() {
    block_on(async {
        let network = start();

        let answer = work(&mut network.client(), "1000000").await;

        assert_eq!(answer.expect("an answer").body().len(), 1_000_000);
    });
}

#[test]
fn mode_forget_silences_open_connections_and_relays_new_ones() {
    block_on(async {
        let network = start();
        let mut open = network.client();
        work(&mut open, "1").await.expect("an answer");

        network.set_mode("mode=forget").await;
        let silent = work(&mut with_short_timeout(open), "1").await;
        let fresh = work(&mut network.client(), "1").await;

        assert!(
            matches!(silent, Err(ClientError::TimedOut(_))),
            "{silent:?}"
        );
        assert_eq!(fresh.expect("an answer").status(), 200);
    });
}

#[test]
fn a_connection_that_was_open_in_mode_silent_stays_silent() {
    block_on(async {
        let network = start();
        let mut before = network.client();
        work(&mut before, "1").await.expect("an answer");

        network.set_mode("mode=silent").await;
        let during = work(&mut with_short_timeout(network.client()), "1").await;
        network.set_mode("mode=pass").await;
        let after = work(&mut with_short_timeout(before), "1").await;
        let fresh = work(&mut network.client(), "1").await;

        assert!(
            matches!(during, Err(ClientError::TimedOut(_))),
            "{during:?}"
        );
        assert!(matches!(after, Err(ClientError::TimedOut(_))), "{after:?}");
        assert_eq!(fresh.expect("an answer").status(), 200);
    });
}

#[test]
fn held_bytes_are_relayed_when_the_mode_is_pass_again() {
    block_on(async {
        let network = start();
        let mut client = network.client();
        work(&mut client, "1").await.expect("an answer");
        network.set_mode("mode=hold").await;
        let mut held = Box::pin(work(&mut client, "1"));

        let early = monoio::time::timeout(Duration::from_millis(50), &mut held).await;
        network.set_mode("mode=pass").await;
        let late = held.await;

        assert!(early.is_err(), "{early:?}");
        assert_eq!(late.expect("an answer").status(), 200);
    });
}

#[test]
fn mode_refuse_closes_new_connections_and_relays_open_ones() {
    block_on(async {
        let network = start();
        let mut open = network.client();
        work(&mut open, "1").await.expect("an answer");

        network.set_mode("mode=refuse").await;
        let refused = work(&mut network.client(), "1").await;
        let kept = work(&mut open, "1").await;

        assert!(matches!(refused, Err(ClientError::Head(_))), "{refused:?}");
        assert_eq!(kept.expect("an answer").status(), 200);
    });
}

#[test]
fn a_control_request_can_name_one_link() {
    block_on(async {
        let network = start();
        network.set_mode("link=1\nmode=refuse").await;

        let first = work(&mut network.client(), "1").await;
        let second = work(&mut Client::new(network.links[1], TIMEOUT), "1").await;

        assert!(first.is_ok(), "{first:?}");
        assert!(second.is_err(), "{second:?}");
    });
}

#[test]
fn mode_slow_delays_by_the_set_time() {
    block_on(async {
        let network = start();
        network.set_mode("mode=slow\ndelay_ms=30000").await;

        let early = work(&mut with_short_timeout(network.client()), "1").await;

        assert!(matches!(early, Err(ClientError::TimedOut(_))), "{early:?}");
    });
}

#[test]
fn a_relayed_connection_ends_when_both_ends_have_closed() {
    block_on(async {
        let network = start();
        let mut client = network.client();
        work(&mut client, "1").await.expect("an answer");

        drop(client);

        wait_until("no link has an open connection", async || {
            let stats = common::request(
                network.control_address,
                Method::GET,
                "/control",
                &HeaderMap::new(),
                "",
            )
            .await
            .expect("stats");
            let text = String::from_utf8_lossy(stats.body()).into_owned();
            text.matches(r#""connections":0"#).count() == 2
        })
        .await;
    });
}
