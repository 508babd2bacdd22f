//! Tests of the choice of a target, and of the handling of failing, full and leaving targets.

mod fixtures;

use fixtures::{answered, at, daemon, failed, leaving, member, not_run, pick, start, table, vm};
use vanillafold_policy::{
    FailureKind, HealthCheckResult, MonotonicMillis, NotRunReason, PANIC_PERCENT, PickOptions,
    PickRefusal, SendOutcome, SplitMix, TargetStatus, TargetTable,
};
use vanillafold_types::{Connections, Millis, Slots, VmId};

const SEED: u64 = 7;
/// No target stays ejected for longer than this without being probed.
const EJECTION_BOUND: Millis = Millis::new(60_000);

fn rng() -> SplitMix {
    SplitMix::new(SEED)
}

fn target_status(table: &TargetTable, now: MonotonicMillis, vm: &VmId) -> TargetStatus {
    let view = table.views(now).find(|view| view.vm == vm);
    view.expect("the target is in the table").status
}

/// Sends requests one after another and returns the targets picked. Sends to targets for which
/// `fails` returns true fail, others are answered.
fn send_each(
    table: &mut TargetTable,
    now: MonotonicMillis,
    rng: &mut SplitMix,
    sends: usize,
    fails: impl Fn(&VmId) -> bool,
) -> Vec<VmId> {
    let mut picked_vms = Vec::new();
    for _ in 0..sends {
        let Ok(picked) = start(table, now, rng) else {
            break;
        };
        picked_vms.push(picked.vm().clone());
        let outcome = match fails(picked.vm()) {
            true => failed(FailureKind::ServerError),
            false => answered(),
        };
        table.send_finished(picked, now, outcome);
    }
    picked_vms
}

/// Returns a table of four targets whose first is ejected for failures, and the time of the
/// ejection in milliseconds.
fn table_with_ejected_target(rng: &mut SplitMix) -> (TargetTable, u64) {
    let mut table = table((0..4).map(|index| member(index, "a")).collect());
    for ms in 0..60_000 {
        send_each(&mut table, at(ms), rng, 1, |target| *target == vm(0));
        if target_status(&table, at(ms), &vm(0)) == TargetStatus::Ejected {
            return (table, ms);
        }
    }
    panic!("the failing target was never ejected");
}

/// Returns the first time from `since_ms` on at which the first target may be probed, in
/// milliseconds.
fn probe_due(table: &TargetTable, since_ms: u64) -> u64 {
    (since_ms..)
        .find(|ms| target_status(table, at(*ms), &vm(0)) == TargetStatus::ProbeDue)
        .expect("an ejection ends")
}

#[test]
fn the_own_zone_comes_first_and_others_when_it_is_full() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a"), member(1, "b"), member(2, "c")]);

    let vms: Vec<VmId> = (0..=fixtures::SLOTS)
        .map(|_| start(&mut table, at(1), &mut rng).unwrap().vm().clone())
        .collect();

    let (last, first) = vms.split_last().unwrap();
    assert!(first.iter().all(|picked| *picked == vm(0)));
    assert_ne!(*last, vm(0));
}

#[test]
fn idle_targets_get_even_shares() {
    for count in [2, 3, 12] {
        let mut table = table((0..count).map(|index| member(index, "a")).collect());
        let vms = send_each(&mut table, at(1), &mut rng(), 1_200, |_| false);

        for index in 0..count {
            let share = vms.iter().filter(|picked| **picked == vm(index)).count();
            assert!(
                share * count > 600,
                "{share} of 1200 sends went to one of {count} targets"
            );
        }
    }
}

/// If costs were not rounded, an idle target with a penalty that has almost decayed would still
/// lose every comparison with other idle targets.
#[test]
fn a_target_that_failed_once_is_used_again_in_an_idle_pool() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a"), member(1, "a")]);
    send_each(&mut table, at(1), &mut rng, 20, |target| *target == vm(0));

    let later = send_each(&mut table, at(20_000), &mut rng, 20, |_| false);

    assert!(later.contains(&vm(0)));
}

#[test]
fn a_full_pool_is_refused_as_busy() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    for _ in 0..fixtures::SLOTS {
        let _outstanding = start(&mut table, at(1), &mut rng).unwrap();
    }

    let refusal = start(&mut table, at(1), &mut rng).unwrap_err();

    assert!(matches!(refusal, PickRefusal::AllBusy { .. }));
}

#[test]
fn an_empty_pool_and_a_leaving_pool_have_no_target() {
    for members in [vec![], vec![leaving(0, "a")]] {
        let table = table(members);

        let refusal = pick(&table, at(1), &mut rng(), true).unwrap_err();

        assert_eq!(refusal, PickRefusal::NoTarget);
    }
}

#[test]
fn an_excluded_target_is_not_picked_and_the_refusal_says_so() {
    let table = table(vec![member(0, "a")]);
    let options = PickOptions {
        idempotent: true,
        exclude: &[vm(0)],
    };

    let refusal = table.pick(at(1), &mut rng(), options).unwrap_err();

    assert_eq!(refusal, PickRefusal::AllExcluded);
}

/// The membership list may lag behind the target's own report that it is leaving.
#[test]
fn a_target_that_reports_leaving_gets_nothing_until_a_health_check_finds_it_live() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    let picked = start(&mut table, at(1), &mut rng).unwrap();
    table.send_finished(picked, at(2), not_run(NotRunReason::Leaving));

    // The membership list lags and still shows the target as live.
    table.set_members(vec![member(0, "a")]);

    let much_later = at(10_000_000);
    let refused = pick(&table, much_later, &mut rng, true);
    assert_eq!(refused.unwrap_err(), PickRefusal::NoTarget);
    assert_eq!(table.due_health_checks(much_later).len(), 1);
    table.health_checked(&vm(0), much_later, HealthCheckResult::Live { load: None });
    assert!(pick(&table, much_later, &mut rng, true).is_ok());
}

#[test]
fn a_target_that_reported_leaving_is_used_again_when_the_list_shows_it_leaving_and_then_live() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    let picked = start(&mut table, at(1), &mut rng).unwrap();
    table.send_finished(picked, at(2), not_run(NotRunReason::Leaving));

    table.set_members(vec![leaving(0, "a")]);
    table.set_members(vec![member(0, "a")]);

    assert!(pick(&table, at(3), &mut rng, true).is_ok());
}

#[test]
fn work_may_not_be_written_to_a_target_that_started_leaving_after_the_pick() {
    let mut table = table(vec![member(0, "a")]);
    let picked = start(&mut table, at(1), &mut rng()).unwrap();
    assert!(table.takes_work(picked.vm()));

    table.set_members(vec![leaving(0, "a")]);

    assert!(!table.takes_work(picked.vm()));
    assert!(!table.may_connect(picked.vm()));
    table.send_finished(picked, at(2), answered());
}

#[test]
fn a_removed_target_is_kept_until_its_last_send_and_connection_end() {
    let mut table = table(vec![member(0, "a")]);
    let picked = start(&mut table, at(1), &mut rng()).unwrap();
    table.connection_opened(&vm(0));
    table.set_members(vec![]);

    table.send_finished(picked, at(2), answered());
    assert_eq!(table.views(at(2)).count(), 1);
    table.connection_closed(&vm(0));
    assert_eq!(table.views(at(2)).count(), 0);
}

#[test]
fn connections_stop_at_the_share() {
    let mut table = table(vec![member(0, "a")]);
    table.set_daemons((0..9).map(|index| daemon(index, "a")).collect());
    let mut opened = 0;

    while table.may_connect(&vm(0)) {
        table.connection_opened(&vm(0));
        opened += 1;
    }

    let view = table.views(at(1)).next().unwrap();
    assert_eq!(view.connections, view.connections_allowed);
    assert_eq!(view.connections, Connections::new(opened));
    assert!(9 * opened <= fixtures::LIMITS.connections_per_vm.get());
}

#[test]
fn a_busy_target_is_not_picked_until_a_send_of_this_daemon_ends() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    let first = start(&mut table, at(1), &mut rng).unwrap();
    let second = start(&mut table, at(1), &mut rng).unwrap();

    table.send_finished(second, at(2), not_run(NotRunReason::Busy));
    let refused = pick(&table, at(2), &mut rng, true);
    assert!(matches!(refused, Err(PickRefusal::AllBusy { .. })));

    table.send_finished(first, at(3), answered());
    assert!(pick(&table, at(3), &mut rng, true).is_ok());
}

#[test]
fn a_target_full_of_other_daemons_sends_is_not_picked() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a"), member(1, "a")]);
    table.set_peer_load(&vm(0), at(1), Slots::new(fixtures::SLOTS));

    for _ in 0..fixtures::SLOTS {
        let picked = start(&mut table, at(2), &mut rng).unwrap();
        assert_eq!(*picked.vm(), vm(1));
    }
}

/// If the estimate alone decided, the daemons that came first would keep all slots of a full pool.
#[test]
fn a_daemon_below_its_fair_share_sends_to_a_pool_estimated_to_be_full() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    table.set_daemons(vec![daemon(0, "a"), daemon(1, "a")]);
    table.set_peer_load(&vm(0), at(1), Slots::new(fixtures::SLOTS));

    let tried = (0..).map_while(|_| start(&mut table, at(2), &mut rng).ok());

    assert_eq!(tried.count(), fixtures::SLOTS as usize / 2);
}

/// A long history of successes must not hide that a target now fails every request.
#[test]
fn a_failing_target_is_ejected_even_after_many_successes() {
    let mut rng = rng();
    let mut table = table((0..12).map(|index| member(index, "a")).collect());
    send_each(&mut table, at(1), &mut rng, 20_000, |_| false);

    let mut after = Vec::new();
    for ms in 2..60_000 {
        let picked = send_each(&mut table, at(ms), &mut rng, 1, |target| *target == vm(0));
        after.extend(picked);
    }

    assert_eq!(
        target_status(&table, at(60_000), &vm(0)),
        TargetStatus::Ejected
    );
    let to_failing = after.iter().filter(|target| **target == vm(0)).count();
    assert!(
        to_failing * 100 <= after.len(),
        "{to_failing} of {} sends went to the failing target",
        after.len()
    );
}

#[test]
fn an_ejected_target_is_reinstated_by_one_probe_at_a_time() {
    let mut rng = rng();
    let (mut table, ejected_ms) = table_with_ejected_target(&mut rng);
    let now = at(ejected_ms).after(EJECTION_BOUND);

    let probe = start(&mut table, now, &mut rng).unwrap();
    assert!(probe.is_probe());
    let other = start(&mut table, now, &mut rng).unwrap();
    assert!(!other.is_probe(), "two probes at a time");

    table.send_finished(probe, now, answered());
    table.send_finished(other, now, answered());
    send_each(&mut table, now, &mut rng, 10, |_| false);
    assert_eq!(target_status(&table, now, &vm(0)), TargetStatus::Available);
}

#[test]
fn a_failed_probe_doubles_the_ejection() {
    let mut rng = rng();
    let (mut table, mut now_ms) = table_with_ejected_target(&mut rng);
    let mut gaps_ms = Vec::new();

    for _ in 0..4 {
        let since_ms = now_ms;
        now_ms = probe_due(&table, since_ms);
        gaps_ms.push(now_ms - since_ms);
        let probe = start(&mut table, at(now_ms), &mut rng).unwrap();
        assert!(probe.is_probe());
        table.send_finished(probe, at(now_ms), failed(FailureKind::Connect));
    }

    let growing = gaps_ms.windows(2).all(|pair| pair[1] * 2 > pair[0] * 3);
    assert!(growing, "{gaps_ms:?}");
}

/// A request that must not run twice should not be risked on a probe. In a pool without idempotent
/// requests the target must still be probed some time.
#[test]
fn a_probe_waits_for_an_idempotent_request_for_a_limited_time() {
    let mut rng = rng();
    let (table, ejected_ms) = table_with_ejected_target(&mut rng);
    let due_ms = probe_due(&table, ejected_ms);

    let soon = pick(&table, at(due_ms), &mut rng, false).unwrap();
    let idempotent = pick(&table, at(due_ms), &mut rng, true).unwrap();

    assert!(!soon.is_probe());
    assert!(idempotent.is_probe());
    let later = at(due_ms).after(EJECTION_BOUND);
    let alone = keep_only_first_target(table);
    assert!(pick(&alone, later, &mut rng, false).unwrap().is_probe());
}

/// Removes all targets but the first from the table.
fn keep_only_first_target(mut table: TargetTable) -> TargetTable {
    table.set_members(vec![member(0, "a")]);
    table
}

#[test]
fn a_non_idempotent_request_probes_only_if_no_other_target_is_available() {
    let mut rng = rng();
    let (mut table, ejected_ms) = table_with_ejected_target(&mut rng);
    for _ in 0..3 * fixtures::SLOTS {
        let _outstanding = start(&mut table, at(ejected_ms), &mut rng).unwrap();
    }
    let due_ms = probe_due(&table, ejected_ms);

    let soon = pick(&table, at(due_ms), &mut rng, false);
    let later = pick(&table, at(due_ms).after(EJECTION_BOUND), &mut rng, false);

    assert!(matches!(soon, Err(PickRefusal::AllBusy { .. })));
    assert!(later.unwrap().is_probe());
}

#[test]
fn a_failed_health_check_prolongs_the_ejection() {
    let mut rng = rng();
    let (mut table, ejected_ms) = table_with_ejected_target(&mut rng);
    let due_ms = probe_due(&table, ejected_ms);

    let due = table.due_health_checks(at(due_ms));
    assert_eq!(due.first().map(|check| &check.vm), Some(&vm(0)));
    table.health_checked(&vm(0), at(due_ms), HealthCheckResult::Failed);

    assert_eq!(
        target_status(&table, at(due_ms), &vm(0)),
        TargetStatus::Ejected
    );
}

/// If each target were judged alone, requests that fail wherever they run would empty the pool.
#[test]
fn requests_that_fail_everywhere_eject_no_target() {
    let mut rng = rng();
    let mut draw = SplitMix::new(SEED + 1);
    let mut table = table((0..12).map(|index| member(index, "a")).collect());

    for ms in 0..20_000 {
        let picked = start(&mut table, at(ms), &mut rng).unwrap();
        let outcome = match draw.below(100) < 60 {
            true => failed(FailureKind::ServerError),
            false => answered(),
        };
        table.send_finished(picked, at(ms), outcome);
    }

    let ejected = table
        .views(at(20_000))
        .filter(|view| view.status != TargetStatus::Available);
    assert_eq!(ejected.count(), 0);
}

#[test]
fn an_ejected_target_is_reinstated_while_half_of_all_requests_fail() {
    for seed in 0..10 {
        let mut rng = SplitMix::new(seed);
        let mut draw = SplitMix::new(seed + 100);
        let (mut table, ejected_ms) = table_with_ejected_target(&mut rng);
        let mut reinstated = false;

        for ms in (ejected_ms..ejected_ms + EJECTION_BOUND.get()).step_by(5) {
            let half = draw.below(2) == 0;
            send_each(&mut table, at(ms), &mut rng, 1, |_| half);
            reinstated |= target_status(&table, at(ms), &vm(0)) == TargetStatus::Available;
        }

        assert!(reinstated, "seed {seed}");
    }
}

#[test]
fn a_pool_that_fails_as_a_whole_is_still_tried_and_recovers_within_a_second() {
    let mut rng = rng();
    let mut table = table((0..12).map(|index| member(index, "a")).collect());
    send_each(&mut table, at(0), &mut rng, 1_000, |_| false);
    for ms in 0..10_000 {
        send_each(&mut table, at(ms), &mut rng, 2, |_| true);
    }
    assert!(pick(&table, at(10_200), &mut rng, true).is_ok());
    assert!(pick(&table, at(10_200), &mut rng, false).is_ok());

    for ms in 10_200..11_200 {
        send_each(&mut table, at(ms), &mut rng, 2, |_| false);
    }

    let available = table
        .views(at(11_200))
        .filter(|view| view.status == TargetStatus::Available);
    assert_eq!(available.count(), 12);
}

/// When so many targets are ejected at once, the ejections are probably wrong or the targets
/// recover together. If each ejection were waited out, few targets would carry the whole load
/// meanwhile.
#[test]
fn more_than_half_of_a_pool_ejected_is_probed_early() {
    let mut rng = rng();
    let mut table = table((0..12).map(|index| member(index, "a")).collect());
    let fails = |target: &VmId| *target < vm(7);
    let ejected = |table: &TargetTable, now| {
        let in_use = |status| status == TargetStatus::Available || status == TargetStatus::Busy;
        table.views(now).filter(|view| !in_use(view.status)).count()
    };
    for ms in 0..120_000 {
        send_each(&mut table, at(ms), &mut rng, 1, fails);
    }
    assert!(ejected(&table, at(120_000)) * 100 > 12 * PANIC_PERCENT);

    for ms in 120_000..121_000 {
        send_each(&mut table, at(ms), &mut rng, 1, |_| false);
    }

    assert!(ejected(&table, at(121_000)) * 100 <= 12 * PANIC_PERCENT);
}

/// A timeout after less than the target's mean latency is due to a short deadline and not to the
/// target.
#[test]
fn deadlines_shorter_than_the_work_eject_no_target() {
    let mut rng = rng();
    let mut table = table((0..4).map(|index| member(index, "a")).collect());
    send_each(&mut table, at(1), &mut rng, 100, |_| false);

    for ms in 2..60_000 {
        let picked = start(&mut table, at(ms), &mut rng).unwrap();
        let is_first = *picked.vm() == vm(0);
        let outcome = match is_first {
            true => failed(FailureKind::Timeout),
            false => answered(),
        };
        table.send_finished(picked, at(ms), outcome);
    }

    assert_ne!(
        target_status(&table, at(60_000), &vm(0)),
        TargetStatus::Ejected
    );
}

/// The work of an abandoned send may go on at the target and use a slot there.
#[test]
fn an_abandoned_send_still_counts_as_load() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a")]);
    for _ in 0..fixtures::SLOTS {
        let picked = start(&mut table, at(1), &mut rng).unwrap();
        table.send_finished(picked, at(1), SendOutcome::Abandoned);
    }

    let view = table.views(at(1)).next().unwrap();

    assert_eq!(view.outstanding, Slots::ZERO);
    assert_eq!(view.external_load, Slots::new(fixtures::SLOTS));
}

#[test]
#[should_panic(expected = "finished but not started")]
fn a_send_that_was_not_started_cannot_end() {
    let mut table = table(vec![member(0, "a")]);
    let picked = pick(&table, at(1), &mut rng(), true).unwrap();

    table.send_finished(picked, at(2), answered());
}

#[test]
fn targets_of_an_evacuated_zone_get_no_new_work_and_finish_what_runs_there() {
    let mut rng = rng();
    let mut table = table(vec![member(0, "a"), member(1, "b")]);
    let running = start(&mut table, at(1), &mut rng).unwrap();
    assert_eq!(*running.vm(), vm(0), "the own zone comes first");

    table.set_evacuated_zones(&["a".parse().unwrap()]);
    let sent = send_each(&mut table, at(2), &mut rng, 20, |_| false);

    assert_eq!(sent, vec![vm(1); 20]);
    assert!(!table.takes_work(&vm(0)) && !table.may_connect(&vm(0)));
    let status = target_status(&table, at(2), &vm(0));
    assert_eq!(status, TargetStatus::Evacuated);
    table.send_finished(running, at(3), answered());
    assert_eq!(table.outstanding(), Slots::ZERO);
}

/// A request that no other zone can take must not wait for one that is evacuated.
#[test]
fn a_pool_whose_zones_are_all_evacuated_has_no_target() {
    let mut table = table(vec![member(0, "a"), member(1, "b")]);

    table.set_evacuated_zones(&["b", "a", "nowhere"].map(|zone| zone.parse().unwrap()));
    table.set_members(vec![member(0, "a"), member(3, "nowhere")]);

    let refusal = pick(&table, at(1), &mut rng(), true).unwrap_err();
    assert_eq!(refusal, PickRefusal::NoTarget);
}

/// If a send that was prevented counted as a report that the target is leaving, or earlier failures
/// still counted, the target would stay out of use after the evacuation.
#[test]
fn a_target_comes_back_as_good_as_new_when_its_zone_is_not_evacuated_any_more() {
    let mut rng = rng();
    let (mut table, now) = table_with_ejected_target(&mut rng);
    let prevented = start(&mut table, at(now), &mut rng).unwrap();
    let vms = [vm(0), prevented.vm().clone()];
    table.set_evacuated_zones(&["a".parse().unwrap()]);
    table.send_finished(prevented, at(now), SendOutcome::Unsent);

    table.set_evacuated_zones(&[]);

    let statuses = vms.map(|vm| target_status(&table, at(now), &vm));
    assert_eq!(statuses, [TargetStatus::Available; 2]);
}
