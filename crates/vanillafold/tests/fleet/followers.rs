//! Lists of the platform in which other writers have left odd entries.

use std::cell::RefCell;
use std::rc::Rc;

use crate::fixture::{run, start, wait_until};
use crate::log_lines::{log_lines, watch_log};
use crate::platform::StoreState;

fn row(key: &str, value: &[u8]) -> (String, Vec<u8>) {
    (key.to_owned(), value.to_vec())
}

/// Returns whether the owner polls exactly these workers, in any order.
fn are_connected(state: &Rc<RefCell<StoreState>>, workers: &[&str]) -> bool {
    let mut connected = state.borrow().connected.clone();
    connected.sort();
    connected.dedup();
    connected == workers
}

#[test]
fn an_odd_registration_hides_no_worker_in_the_list_or_its_changes() {
    watch_log();
    run(async {
        let state = Rc::new(RefCell::new(StoreState::default()));
        state.borrow_mut().workers = vec![
            row("a", b"127.0.0.1:1"),
            row("b", b"127.0.0.1:65536"),
            row("c", &[0xff, 0xfe]),
            row("d", b"127.0.0.1:4"),
            row("e", "x".repeat(5_000).as_bytes()),
            row("f", b"127.0.0.1:6"),
        ];
        let daemon = start(&state, "daemon", 500);
        wait_until("the list is read", || {
            are_connected(&state, &["a", "d", "f"])
        })
        .await;

        for number in 0..20 {
            let changes = &mut state.borrow_mut().worker_changes;
            changes.push(row("b", format!("odd {number}").as_bytes()));
        }
        state.borrow_mut().worker_changes.extend([
            row("c", b"127.0.0.1:3"),
            row("g", b""),
            row("h", b"127.0.0.1:8"),
        ]);

        let expected = ["a", "c", "d", "f", "h"];
        wait_until("the changes are read", || are_connected(&state, &expected)).await;
        assert!(daemon.fleet_daemon.is_ready());
    });
    let lines = log_lines("input ignored");
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines.iter().all(|line| line.len() < 500));
    assert!(lines.iter().any(|line| line.contains("name=b")));
}

#[test]
fn an_odd_record_of_the_operator_hides_no_later_configuration() {
    watch_log();
    run(async {
        let state = Rc::new(RefCell::new(StoreState::default()));
        let daemon = start(&state, "daemon", 500);
        let version = || daemon.fleet_daemon.config().map(|config| config.version);
        wait_until("the first configuration", || version() == Some(1)).await;

        state.borrow_mut().operator_changes.extend([
            row("config", &[255]),
            row("config", b"odd"),
            row("config", &[7]),
            row("config", &[255]),
        ]);
        wait_until("the next configuration", || version() == Some(7)).await;
        state
            .borrow_mut()
            .operator_changes
            .push(row("config", &[9]));

        wait_until("the last configuration", || version() == Some(9)).await;
    });
    assert_eq!(log_lines("input ignored").len(), 2);
}
