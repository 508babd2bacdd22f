//! Tests of how requests take, renew and give back units of a team's limit on one daemon, of the
//! daemon's identity, and of evacuated zones.

use std::cell::RefCell;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::OnceLock;

use vanillafold_state::{
    Author, BootMillis, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Entry,
    EntryEdit, Escrow, EscrowSettings, NoUnit, State, Stream, TeamLimit,
};
use vanillafold_types::{
    CatalogueFile, DaemonId, Incarnation, Limit, ResultCode, Revision, Sequence, TeamId, ZoneId,
};
use vanillafold_wire::BootClock;

use super::{Node, PoolRuntime, TeamRuntime};
use crate::counter::Counters;
use crate::follow::fold;
use crate::settings::Settings;

const INCARNATION: Incarnation = Incarnation::new(1);

fn team_id() -> TeamId {
    "cafes".parse().expect("a team")
}

/// Returns a state whose control stream holds one join of `daemon` for each of `incarnations`.
fn joined(daemon: &DaemonId, incarnations: &[Incarnation]) -> State {
    let mut state = State::new();
    let stream = Stream::Control;
    for incarnation in incarnations.iter().copied() {
        let record = ControlRecord {
            author: Author {
                id: daemon.as_str().parse().expect("an author"),
                incarnation,
            },
            sequence: Sequence::new(1),
            as_of: state.next_offset(stream),
            change: ControlChange::Join {
                daemon: daemon.clone(),
                vm: "vm".parse().expect("a vm"),
                incarnation,
            },
        };
        let bytes = record.encode().expect("a small record");
        let _ = state.apply(stream, state.next_offset(stream), &bytes);
    }
    state
}

/// Returns the escrow of the only daemon of a fleet. The daemon has joined and has just read the
/// log to its end, so that it may use the whole `limit`.
fn escrow(limit: u32) -> Rc<RefCell<Escrow>> {
    let daemon: DaemonId = "entry".parse().expect("a daemon");
    let fleet = vec![daemon.clone()];
    let mut escrow = Escrow::new(&daemon, INCARNATION, fleet, EscrowSettings::default());
    let now = BootMillis::new(BootClock::now().get());
    set_limit(&mut escrow, limit);
    escrow.update_roster(joined(&daemon, &[INCARNATION]).roster(), now);
    escrow.mark_fresh(now);
    Rc::new(RefCell::new(escrow))
}

fn set_limit(escrow: &mut Escrow, limit: u32) {
    escrow.set_limits(&[TeamLimit {
        team: team_id(),
        limit: Limit::new(limit),
    }]);
}

/// Returns a folder with a secret in the file `token`.
fn settings_folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let folder = env::temp_dir().join(format!("vanillafold-node-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("token"), "a secret of the node's tests").expect("a file");
        folder
    })
}

/// Returns a daemon called `entry` that has read nothing yet.
fn node() -> Rc<Node> {
    let text = "\
[daemon]
name = entry
zone = zone-a
cluster = tests
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
admin = 127.0.0.1:7003
peer_token_file = token
operator_credential_file = token
[platform]
address = 127.0.0.1:7100
";
    let settings = Settings::parse("f", text, settings_folder()).expect("valid settings");
    Node::new(settings, Counters::register())
}

/// Passes `state` to a daemon as what the log holds up to its ends.
fn catch_up(node: &Node, state: State) {
    node.merge_state(state).expect("a later state");
    for stream in Stream::ALL {
        node.note_caught_up(stream, node.boot_time());
    }
}

#[test]
fn units_are_taken_up_to_the_limit_and_given_back() {
    let escrow = escrow(2);
    let team = TeamRuntime::new(team_id(), Rc::clone(&escrow));

    let first = team.try_take().expect("a unit");
    let second = team.try_take().expect("a unit");

    assert_eq!(team.try_take().err(), Some(NoUnit::AllInUse));
    set_limit(&mut escrow.borrow_mut(), 1);
    drop(first);
    assert!(
        team.try_take().is_err(),
        "one unit is in use and the limit is one"
    );
    drop(second);
    assert!(team.try_take().is_ok());
}

#[test]
fn a_unit_is_renewed_only_while_the_limit_allows_it() {
    let escrow = escrow(1);
    let team = TeamRuntime::new(team_id(), Rc::clone(&escrow));
    let mut unit = team.try_take().expect("a unit");

    assert_eq!(unit.renew(), Ok(()));
    set_limit(&mut escrow.borrow_mut(), 0);
    assert!(unit.renew().is_err());
    set_limit(&mut escrow.borrow_mut(), 1);
    assert!(
        team.try_take().is_ok(),
        "a refused renewal gives the unit back"
    );
}

#[test]
fn a_daemon_whose_incarnation_has_joined_already_refuses_requests_and_stops() {
    let node = node();
    let name = node.settings.name.clone();

    catch_up(&node, joined(&name, &[node.incarnation]));

    assert!(node.superseded.is_set());
    assert_eq!(node.queue("quotes").err(), Some(ResultCode::Stopping));
    assert_eq!(node.writer.pending_count(), 0, "no join is written");
    let escrow = node.escrow.borrow().view(node.boot_time());
    assert!(!escrow.is_joined, "the other process has the units");
}

#[test]
fn a_daemon_joins_after_an_earlier_incarnation() {
    let node = node();
    let name = node.settings.name.clone();

    catch_up(&node, joined(&name, &[INCARNATION]));

    assert!(!node.superseded.is_set());
    assert_eq!(node.queue("quotes").err(), Some(ResultCode::UnknownQueue));
    assert_eq!(
        node.writer.pending_count(),
        1,
        "the join waits to be written"
    );
}

/// The peer's state may be older than the join of an earlier incarnation, which granted claims.
#[test]
fn a_daemon_that_started_from_a_peers_state_may_have_forgotten_claims() {
    let node = node();
    let name = node.settings.name.clone();
    node.merge_state(State::new()).expect("an equal state");
    node.note_state_from_peer();

    catch_up(&node, joined(&name, &[INCARNATION, node.incarnation]));

    assert!(!node.claims.borrow().is_complete(node.boot_ms()));
}

#[test]
fn the_first_incarnation_of_a_daemon_has_forgotten_no_claims() {
    let node = node();
    let name = node.settings.name.clone();
    catch_up(&node, State::new());

    catch_up(&node, joined(&name, &[node.incarnation]));

    assert!(node.claims.borrow().is_complete(node.boot_ms()));
}

// --- Evacuated zones ---------------------------------------------------------------------------

/// Folds the next record of the catalogue, as read from the log.
fn publish(node: &Node, change: CatalogueChange) {
    let offset = node.state.borrow().next_offset(Stream::Catalogue);
    let record = CatalogueRecord {
        author: Author {
            id: "ops".parse().expect("an author"),
            incarnation: INCARNATION,
        },
        sequence: Sequence::new(offset.get()),
        as_of: offset,
        change,
    };
    let bytes = record.encode().expect("a small record");
    fold(node, Stream::Catalogue, [(offset, &bytes[..])].into_iter());
}

/// A request may wait for a pool that is removed meanwhile: its targets, too, are evacuated.
#[test]
fn pools_that_are_added_or_removed_have_no_targets_in_an_evacuated_zone() {
    let node = node();
    let text = "[pool work]\nowner = ops\nclass = urgent\n";
    let file = CatalogueFile::parse("f", text).expect("a catalogue");
    let entry = Entry::Pool(file.pools[0].clone());
    let edit = |expected_revision, value| {
        CatalogueChange::Edit(vec![EntryEdit {
            name: entry.name(),
            expected_revision: Revision::new(expected_revision),
            value,
        }])
    };
    let zone: ZoneId = "zone-b".parse().expect("a zone");
    let evacuation = || CatalogueChange::EvacuateZone(zone.clone());
    let withdrawal = CatalogueChange::RestoreZone {
        zone: zone.clone(),
        expected_revision: Revision::new(1),
    };
    let vm = "w1 zone-b rack-1 work 127.0.0.1:7200 live".parse();
    let vms = vec![vm.expect("a line of the VM list")];
    node.inventory.borrow_mut().replace_from_peer(vms);
    let takes_work = |pool: &PoolRuntime| {
        let vm = "w1".parse().expect("a VM");
        pool.table.borrow().takes_work(&vm)
    };

    publish(&node, evacuation());
    publish(&node, edit(0, Some(entry.clone())));
    let pool = node.routes.borrow().pools[0].clone();
    let evacuated = takes_work(&pool);
    publish(&node, withdrawal);
    let restored = takes_work(&pool);
    publish(&node, edit(2, None));
    publish(&node, evacuation());

    assert_eq!((evacuated, restored), (false, true));
    assert!(!takes_work(&pool), "the pool was removed");
}
