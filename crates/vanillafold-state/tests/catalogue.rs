//! Tests that edits of pools, teams and queues are applied whole or refused with the right reason.

mod common;

use common::{Log, pool, put, queue, remove, replay, team};
use vanillafold_state::{ApplyResult, CatalogueChange, Entry, EntryEdit, RefusalReason, Stream};
use vanillafold_types::{CatalogueFile, EntryName, Limit, Millis, Percent, Revision, Share, Slots};

fn pool_name(id: &str) -> EntryName {
    EntryName::Pool(id.parse().unwrap())
}

fn team_name(id: &str) -> EntryName {
    EntryName::Team(id.parse().unwrap())
}

fn queue_name(id: &str) -> EntryName {
    EntryName::Queue(id.parse().unwrap())
}

#[test]
fn an_edit_is_applied_as_a_whole() {
    let log = Log::with_entries();

    let queue = log.state.queue("q").unwrap();

    assert_eq!(queue.revision, Revision::new(1));
    assert_eq!(log.state.revision(&queue_name("q")), queue.revision);
    assert_eq!(log.state.revision(&pool_name("q")), Revision::ZERO);
    assert!(log.state.pool(&queue.value.pool).is_some());
    assert!(log.state.team(&queue.value.teams[0]).is_some());
}

#[test]
fn a_refused_edit_changes_nothing() {
    let mut log = Log::with_entries();
    let before = (
        log.state.pools().cloned().collect::<Vec<_>>(),
        log.state.teams().len(),
    );

    let applied = log.edit(vec![
        put(Entry::Pool(pool("new")), 0),
        put(Entry::Team(team("t")), 99),
    ]);

    assert_eq!(
        applied,
        ApplyResult::Refused(RefusalReason::RevisionMismatch)
    );
    assert_eq!(
        before,
        (
            log.state.pools().cloned().collect(),
            log.state.teams().len()
        )
    );
}

#[test]
fn of_two_edits_that_expect_one_revision_the_first_wins() {
    let mut log = Log::with_entries();
    let with_share = |share: u32| {
        let mut team = team("t");
        team.share = Share::new(share);
        vec![put(Entry::Team(team), 1)]
    };

    let first = log.edit(with_share(2));
    let second = log.edit(with_share(3));

    assert_eq!(first, ApplyResult::Accepted);
    assert_eq!(
        second,
        ApplyResult::Refused(RefusalReason::RevisionMismatch)
    );
    let team = log.state.teams().next().unwrap();
    assert_eq!(
        (team.value.share, team.revision),
        (Share::new(2), Revision::new(2))
    );
}

#[test]
fn edits_of_different_entries_do_not_conflict() {
    let mut log = Log::with_entries();
    let first = log.catalogue_record(CatalogueChange::Edit(vec![put(Entry::Pool(pool("p")), 1)]));
    let second = log.catalogue_record(CatalogueChange::Edit(vec![put(Entry::Team(team("t")), 1)]));

    let applied =
        [first, second].map(|record| log.append(Stream::Catalogue, record.encode().unwrap()));

    assert_eq!(applied, [ApplyResult::Accepted; 2]);
}

#[test]
fn referenced_entries_must_exist_after_the_edit() {
    use RefusalReason::{PoolInUse, TeamInUse, UnknownPool, UnknownTeam};
    let without = |name, revision| remove(name, revision);
    let cases: Vec<(Vec<EntryEdit>, Option<RefusalReason>)> = vec![
        (
            vec![put(Entry::Queue(queue("r", "x", &[])), 0)],
            Some(UnknownPool),
        ),
        (
            vec![put(Entry::Queue(queue("r", "p", &["x"])), 0)],
            Some(UnknownTeam),
        ),
        (vec![without(pool_name("p"), 1)], Some(PoolInUse)),
        (vec![without(team_name("t"), 1)], Some(TeamInUse)),
        // The queue still uses the pool that the same edit removes.
        (
            vec![
                without(pool_name("p"), 1),
                put(Entry::Queue(queue("q", "p", &["t"])), 1),
            ],
            Some(UnknownPool),
        ),
        // The queue changes to a pool that the same edit adds.
        (
            vec![
                put(Entry::Queue(queue("q", "x", &[])), 1),
                without(pool_name("p"), 1),
                put(Entry::Pool(pool("x")), 0),
                without(team_name("t"), 1),
            ],
            None,
        ),
        (
            vec![without(queue_name("q"), 1), without(pool_name("p"), 1)],
            None,
        ),
    ];

    for (edits, refusal) in cases {
        let applied = Log::with_entries().edit(edits.clone());
        let expected = refusal.map_or(ApplyResult::Accepted, ApplyResult::Refused);
        assert_eq!(applied, expected, "{edits:?}");
    }
}

#[test]
fn a_team_can_be_removed_only_after_its_keys_are_withdrawn() {
    let mut log = Log::with_entries();
    let _ = log.edit(vec![put(Entry::Team(team("u")), 0)]);
    let _ = log.give_key("k", "u");

    let early = log.edit(vec![remove(team_name("u"), 2)]);
    let _ = log.withdraw_key("k");
    let late = log.edit(vec![remove(team_name("u"), 2)]);

    assert_eq!(early, ApplyResult::Refused(RefusalReason::TeamInUse));
    assert_eq!(late, ApplyResult::Accepted);
}

#[test]
fn each_kind_of_invalid_edit_is_refused_with_its_reason() {
    use RefusalReason as Reason;
    let key_name = EntryName::Key("k".parse().unwrap());
    let misnamed = EntryEdit {
        name: pool_name("x"),
        ..put(Entry::Pool(pool("y")), 0)
    };
    let cases = vec![
        (vec![], Reason::EmptyEdit),
        (
            vec![put(Entry::Pool(pool("x")), 0); 2],
            Reason::DuplicateEntry,
        ),
        (vec![misnamed], Reason::NameMismatch),
        (vec![remove(key_name, 0)], Reason::KeyInEdit),
        (vec![remove(pool_name("x"), 0)], Reason::MissingEntry),
        (
            vec![put(Entry::Pool(pool("p")), 0)],
            Reason::RevisionMismatch,
        ),
        (
            vec![put(Entry::Pool(pool("x")), 1)],
            Reason::RevisionMismatch,
        ),
        (vec![put(Entry::Team(team("all")), 0)], Reason::ReservedName),
    ];

    for (edits, reason) in cases {
        let applied = Log::with_entries().edit(edits.clone());
        assert_eq!(applied, ApplyResult::Refused(reason), "{edits:?}");
    }
}

#[test]
fn numbers_outside_their_range_are_refused() {
    let mut pools = vec![pool("x"); 4];
    pools[0].min_available_percent = Percent::new(101);
    pools[1].slots_per_vm = Slots::ZERO;
    pools[2].slots_per_vm = Slots::new(10_001);
    pools[3].slots_per_vm = Slots::new(65); // More than the VM's connections.
    let mut teams = vec![team("x"); 2];
    teams[0].share = Share::ZERO;
    teams[1].limit = Limit::new(10_000_001);
    let mut queues = vec![queue("x", "p", &[]); 4];
    queues[0].deadline_ms = Millis::ZERO;
    queues[1].max_deadline_ms = Millis::new(999); // Below the queue's default deadline.
    queues[2].max_deadline_ms = Millis::new(3_600_001);
    queues[3].max_waiting = 100_001;

    let entries = (pools.into_iter().map(Entry::Pool))
        .chain(teams.into_iter().map(Entry::Team))
        .chain(queues.into_iter().map(Entry::Queue));

    for entry in entries {
        let applied = Log::with_entries().edit(vec![put(entry.clone(), 0)]);
        assert_eq!(
            applied,
            ApplyResult::Refused(RefusalReason::OutOfRange),
            "{entry:?}"
        );
    }
}

/// The smallest and the largest value that the catalogue's text format accepts, by section and key.
const BOUNDS: [(&str, &str, [u64; 2]); 10] = [
    ("pool", "min_available_percent", [0, 100]),
    ("pool", "slots_per_vm", [1, 10_000]),
    ("pool", "connections_per_vm", [1, 100_000]),
    ("team", "share", [1, 1_000_000]),
    ("team", "limit", [0, 10_000_000]),
    ("queue", "deadline_ms", [1, 3_600_000]),
    ("queue", "max_deadline_ms", [1, 3_600_000]),
    ("queue", "max_waiting", [0, 100_000]),
    ("queue", "retry_percent", [0, 100]),
    ("queue", "max_body", [0, 1 << 40]),
];

/// If the fold's ranges were narrower than those of the catalogue's text, a catalogue that parses
/// could not be published.
#[test]
fn the_fold_accepts_the_bounds_of_the_catalogue_text() {
    let bound = |name: &str, index: usize| {
        let numbers =
            BOUNDS.map(|(section, key, bounds)| (section, format!("{key} = {}\n", bounds[index])));
        let of = |wanted: &str| -> String {
            let lines = numbers.iter().filter(|(section, _)| *section == wanted);
            lines.map(|(_, line)| line.as_str()).collect()
        };
        let head = "owner = a\nclass = urgent\n";
        let (pool, team, queue) = (of("pool"), of("team"), of("queue"));
        format!(
            "[pool {name}]\n{head}{pool}[team {name}]\n{head}{team}[queue {name}]\npool = {name}\n{head}{queue}"
        )
    };
    let text = bound("least", 0) + &bound("most", 1);
    let catalogue = CatalogueFile::parse("bounds.ini", &text).unwrap();
    let edits = (catalogue.pools.into_iter().map(Entry::Pool))
        .chain(catalogue.teams.into_iter().map(Entry::Team))
        .chain(catalogue.queues.into_iter().map(Entry::Queue))
        .map(|entry| put(entry, 0))
        .collect();

    let applied = Log::new().edit(edits);

    assert_eq!(applied, ApplyResult::Accepted);
}

/// An append without an answer is repeated, possibly after the entry that it created was removed.
/// The repeat must not create the entry again, however late it is appended.
#[test]
fn a_late_repeat_does_not_restore_a_removed_entry() {
    let mut log = Log::new();
    let create = log.catalogue_record(CatalogueChange::Edit(vec![put(Entry::Pool(pool("x")), 0)]));
    let create = create.encode().unwrap();
    let _ = log.append(Stream::Catalogue, create.clone());
    let _ = log.edit(vec![remove(pool_name("x"), 1)]);

    for distance in [0, 100, vanillafold_state::RECORD_WINDOW, 1_000] {
        log.fill(Stream::Catalogue, distance);
        let applied = log.append(Stream::Catalogue, create.clone());
        assert_ne!(
            applied,
            ApplyResult::Accepted,
            "repeated after {distance} more records"
        );
        assert_eq!(log.state.pools().len(), 0);
    }
    assert_eq!(replay(&log.records), log.state);
}
