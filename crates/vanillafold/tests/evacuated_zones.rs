//! What daemons know of evacuated zones: the offset of the operator's records orders it.

use vanillafold::fleet::{EvacuatedZones, ZoneChange};

fn zones(names: &[&str], as_of: u64) -> EvacuatedZones {
    EvacuatedZones::new(names.iter().map(|name| (*name).to_owned()).collect(), as_of)
}

fn change(zone: &str, change: ZoneChange) -> (String, ZoneChange) {
    (zone.to_owned(), change)
}

/// A daemon that was cut off from the store must not bring an evacuation back, or lift one.
#[test]
fn earlier_knowledge_does_not_replace_later_one() {
    let mut known = zones(&["a"], 20);

    assert!(!known.replace(&zones(&[], 10)));
    assert_eq!(known.zones(), ["a"]);
    assert!(known.replace(&zones(&[], 21)));
    assert_eq!(known.zones(), [""; 0]);
}

/// Of two requests in turn the one with the later offset counts, also if they come in one read.
#[test]
fn contradictory_requests_are_applied_in_the_order_of_their_offsets() {
    let mut known = zones(&["a"], 5);
    let changes = [
        change("a", ZoneChange::Restore),
        change("b", ZoneChange::Evacuate),
        change("a", ZoneChange::Evacuate),
        change("b", ZoneChange::Restore),
        change("b", ZoneChange::Restore),
    ];

    assert!(!known.apply(&changes, 10));
    assert_eq!(known.zones(), ["a"]);
    assert!(known.apply(&[change("c", ZoneChange::Evacuate)], 11));
    assert_eq!(known.zones(), ["a", "c"]);
}

/// A takeover reads the latest records while a read of earlier changes is on its way: applied to them, an
/// outdated withdrawal lifted the evacuation.
#[test]
fn changes_that_a_later_read_has_overtaken_are_ignored() {
    let mut known = zones(&["a"], 12);

    assert!(!known.apply(&[change("a", ZoneChange::Restore)], 11));
    assert!(!known.apply(&[change("a", ZoneChange::Restore)], 12));
    assert_eq!(known.zones(), ["a"]);
    assert!(known.apply(&[change("a", ZoneChange::Restore)], 13));
}

/// Daemons exchange their zones only if one of them lacks a change, not after each record of another kind.
#[test]
fn only_a_change_of_the_zones_is_news_for_another_daemon() {
    let mut reader = zones(&["a"], 5);
    let cut_off = zones(&["a"], 5);

    reader.apply(&[], 9);
    let unchanged = cut_off.version(0).lacks_change_of(&reader.version(0));
    reader.apply(&[change("a", ZoneChange::Restore)], 12);
    let changed = cut_off.version(0).lacks_change_of(&reader.version(0));
    let reverse = reader.version(0).lacks_change_of(&cut_off.version(0));

    assert!(!unchanged);
    assert!(changed);
    assert!(!reverse);
}

/// A daemon that starts after a withdrawal has read only the latest records, which don't show it.
#[test]
fn a_withdrawal_before_the_first_read_is_news_for_one_that_has_not_read_it() {
    let mut cut_off = zones(&["a"], 5);
    let started_later = zones(&[], 9);

    assert!(
        cut_off
            .version(0)
            .lacks_change_of(&started_later.version(0))
    );
    assert!(cut_off.replace(&started_later));
    assert!(
        !cut_off
            .version(0)
            .lacks_change_of(&started_later.version(0))
    );
    assert!(
        !started_later
            .version(0)
            .lacks_change_of(&cut_off.version(0))
    );
}
