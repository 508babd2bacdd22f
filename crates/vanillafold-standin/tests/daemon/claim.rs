//! Claims that make a non-idempotent request run at most once.

use crate::fixture::{CATALOGUE, Deployment, DeploymentOptions, RawConnection, wait_until};

/// A queue that refuses each request as soon as its id is claimed.
const QUEUE_WITHOUT_TARGETS: &str = "
[pool none]
owner = ops
class = urgent

[queue none]
owner = ops
class = urgent
pool = none
open = yes
";

/// The slots of the runner's VM.
const SLOTS: u32 = 8;

/// Returns a non-idempotent request with this id.
fn booking(queue: &str, id: &str) -> String {
    format!(
        "POST /queues/{queue}/work HTTP/1.1\r\nHost: x\r\nVf-Request-Id: {id}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn claims(deployment: &Deployment) -> u64 {
    let page = deployment.get_admin("/state").1;
    let claims = page.lines().find_map(|line| line.strip_prefix("claims="));
    claims
        .expect("a line of the page")
        .parse()
        .expect("a number")
}

/// Claims ids that are released at once. Each claim lets the daemon look for expired ones in a part
/// of its table.
fn claim_and_release(raw: &mut RawConnection, ids: u32) {
    for number in 0..ids {
        raw.send(booking("none", &format!("filler-{number}")));
        let answer = raw.answer();
        assert_eq!(answer.header("vf-result-code"), Some("400"), "{answer:?}");
    }
}

#[test]
fn a_request_whose_claim_has_expired_is_not_sent() {
    // Arrange: all slots are in use, and the request waits until its claim is forgotten.
    let deployment = Deployment::start_with(DeploymentOptions {
        daemon_settings: "claim_window_ms = 8000",
        ..DeploymentOptions::default()
    });
    deployment.apply_catalogue(&format!("{CATALOGUE}{QUEUE_WITHOUT_TARGETS}"));
    wait_until("the queue is known", || {
        let page = deployment.get_admin("/state").1;
        page.contains("\nqueue none ")
    });
    let mut holders: Vec<RawConnection> = (0..SLOTS).map(|_| deployment.connect()).collect();
    for holder in &mut holders {
        holder.send("GET /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Ms: 13000\r\n\r\n");
    }
    wait_until("all slots are in use", || {
        deployment.runner_stats().slots == SLOTS
    });
    let mut first = deployment.connect();
    first.send(booking("open", "booking-1"));
    wait_until("the id is claimed", || claims(&deployment) == 1);
    let mut fillers = deployment.connect();
    wait_until("the claim is forgotten", || {
        claim_and_release(&mut fillers, 256);
        claims(&deployment) == 0
    });

    // Act: the caller repeats the request, and slots come free.
    let mut repeat = deployment.connect();
    repeat.send(booking("open", "booking-1"));
    let first = first.answer();
    let repeat = repeat.answer();

    // Assert
    assert_eq!(first.header("vf-outcome"), Some("not-run"), "{first:?}");
    assert_eq!(repeat.header("vf-outcome"), Some("answer"), "{repeat:?}");
    let requests = deployment.runner_stats().requests;
    assert_eq!(requests, u64::from(SLOTS) + 1, "the request runs once");
}
