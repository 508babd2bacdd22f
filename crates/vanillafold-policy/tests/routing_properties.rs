//! Properties of the target table that hold under random sequences of events.

mod fixtures;

use fixtures::{any_outcome, at, daemon, leaving, member, table, vm};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use vanillafold_policy::{
    HealthCheckResult, Member, MonotonicMillis, NotRunReason, PickOptions, PickedTarget,
    SendOutcome, SplitMix, TargetStatus, TargetTable, TargetView,
};
use vanillafold_types::{Slots, VmId, ZoneId};

const MAX_VMS: usize = 10;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SEED: u64 = 0x0b5e_55ed;

#[derive(Debug, Clone)]
enum Step {
    Pick {
        idempotent: bool,
        exclude: usize,
    },
    Finish {
        which: usize,
        outcome: SendOutcome,
    },
    SetMembers(Vec<Presence>),
    SetDaemons(usize),
    SetEvacuated(Vec<bool>),
    SetPeerLoad {
        vm: usize,
        load: u32,
    },
    HealthChecked {
        vm: usize,
        result: HealthCheckResult,
    },
    Wait {
        ms: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Live,
    Leaving,
    Absent,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let results = [
            HealthCheckResult::Live { load: None },
            HealthCheckResult::Leaving,
            HealthCheckResult::Failed,
        ];
        let presences = [
            Presence::Live,
            Presence::Live,
            Presence::Leaving,
            Presence::Absent,
        ];
        match u8::arbitrary(g) % 21 {
            0..=8 => Self::Pick {
                idempotent: bool::arbitrary(g),
                exclude: usize::arbitrary(g) % (2 * MAX_VMS),
            },
            9..=14 => Self::Finish {
                which: usize::arbitrary(g),
                outcome: any_outcome(g),
            },
            15 => Self::SetMembers(
                (0..MAX_VMS)
                    .map(|_| *g.choose(&presences).unwrap())
                    .collect(),
            ),
            16 => Self::SetDaemons(1 + usize::arbitrary(g) % 100),
            17 => Self::SetPeerLoad {
                vm: usize::arbitrary(g) % MAX_VMS,
                load: u32::arbitrary(g) % 12,
            },
            18 => Self::HealthChecked {
                vm: usize::arbitrary(g) % MAX_VMS,
                result: *g.choose(&results).unwrap(),
            },
            19 => Self::SetEvacuated((0..ZONES.len()).map(|_| bool::arbitrary(g)).collect()),
            _ => Self::Wait {
                ms: u64::arbitrary(g) % 3_000,
            },
        }
    }
}

/// The table together with the state that the test expects of it.
struct Model {
    table: TargetTable,
    rng: SplitMix,
    now: MonotonicMillis,
    presence: Vec<Presence>,
    reported_leaving: Vec<bool>,
    evacuated: Vec<bool>,
    started: Vec<PickedTarget>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            table: table(Vec::new()),
            rng: SplitMix::new(seed),
            now: at(0),
            presence: Vec::new(),
            reported_leaving: vec![false; MAX_VMS],
            evacuated: vec![false; ZONES.len()],
            started: Vec::new(),
        };
        model.set_members(&[Presence::Live; MAX_VMS]);
        model
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Pick {
                idempotent,
                exclude,
            } => self.pick(*idempotent, *exclude),
            Step::Finish { which, outcome } => self.finish(*which, *outcome),
            Step::SetMembers(presence) => self.set_members(presence),
            Step::SetDaemons(count) => {
                let daemons = (0..*count).map(|index| daemon(index, zone(index)));
                self.table.set_daemons(daemons.collect());
            }
            Step::SetEvacuated(evacuated) => {
                let zones = ZONES.iter().zip(evacuated);
                let zones = zones.filter_map(|(zone, evacuated)| evacuated.then_some(zone));
                let zones: Vec<ZoneId> = zones.map(|zone| zone.parse().unwrap()).collect();
                self.table.set_evacuated_zones(&zones);
                self.evacuated.clone_from(evacuated);
            }
            Step::SetPeerLoad { vm: index, load } => {
                let load = Slots::new(*load);
                self.table.set_peer_load(&vm(*index), self.now, load);
            }
            Step::HealthChecked { vm: index, result } => {
                self.table.health_checked(&vm(*index), self.now, *result);
                match result {
                    HealthCheckResult::Live { .. } => self.reported_leaving[*index] = false,
                    HealthCheckResult::Leaving => self.reported_leaving[*index] = true,
                    HealthCheckResult::Failed => {}
                }
            }
            Step::Wait { ms } => self.now = at(self.now.get() + ms),
        }
        self.check();
    }

    fn pick(&mut self, idempotent: bool, exclude: usize) {
        let excluded = [vm(exclude)];
        let options = PickOptions {
            idempotent,
            exclude: &excluded,
        };
        let Ok(picked) = self.table.pick(self.now, &mut self.rng, options) else {
            return;
        };
        let index = index_of(picked.vm());
        assert_ne!(index, exclude, "an excluded target was picked");
        assert_eq!(self.presence[index], Presence::Live, "{picked:?}");
        assert!(
            !self.reported_leaving[index],
            "{picked:?} has reported that it is leaving"
        );
        assert!(!self.evacuated[index % ZONES.len()], "{picked:?}");
        self.check_health(&picked);
        self.check_limits(&picked);
        self.table.send_started(&picked);
        self.started.push(picked);
    }

    /// Checks that an ejected target is not picked, and that one that may be probed is picked only
    /// as a probe.
    fn check_health(&self, picked: &PickedTarget) {
        let status = self.view(picked.vm(), |view| view.status);
        match status {
            TargetStatus::ProbeDue => assert!(picked.is_probe()),
            TargetStatus::Available | TargetStatus::Busy => assert!(!picked.is_probe()),
            other => panic!("{picked:?} is {other:?}"),
        }
    }

    /// Checks that a target gets no more sends than it has slots, and no more than this daemon has
    /// connections to it.
    fn check_limits(&self, picked: &PickedTarget) {
        let (outstanding, connections) = self.view(picked.vm(), |view| {
            (view.outstanding.get(), view.connections_allowed.get())
        });
        assert!(outstanding < fixtures::SLOTS.min(connections), "{picked:?}");
    }

    fn finish(&mut self, which: usize, outcome: SendOutcome) {
        if self.started.is_empty() {
            return;
        }
        let picked = self.started.swap_remove(which % self.started.len());
        let index = index_of(picked.vm());
        if let SendOutcome::NotRun {
            reason: NotRunReason::Leaving,
            ..
        } = outcome
        {
            // An answer that belongs to the time before the target left the list does not count for
            // its next incarnation.
            self.reported_leaving[index] = self.presence[index] != Presence::Absent;
        }
        self.table.send_finished(picked, self.now, outcome);
    }

    fn set_members(&mut self, presence: &[Presence]) {
        let members: Vec<Member> = presence
            .iter()
            .enumerate()
            .filter_map(|(index, presence)| match presence {
                Presence::Live => Some(member(index, zone(index))),
                Presence::Leaving => Some(leaving(index, zone(index))),
                Presence::Absent => None,
            })
            .collect();
        for (index, new) in presence.iter().enumerate() {
            let was_live = self.presence.get(index) == Some(&Presence::Live);
            if !was_live && *new != Presence::Leaving {
                self.reported_leaving[index] = false;
            }
            if self.presence.get(index) == Some(&Presence::Absent) {
                self.reported_leaving[index] = false;
            }
        }
        self.presence = presence.to_vec();
        self.table.set_members(members);
    }

    /// Checks the invariants that hold after each step.
    fn check(&self) {
        for view in self.table.views(self.now) {
            let started = self.started.iter().filter(|picked| picked.vm() == view.vm);
            assert_eq!(view.outstanding.get() as usize, started.count(), "{view:?}");
            assert!(view.outstanding.get() <= fixtures::SLOTS, "{view:?}");
        }
        let known = self.table.outstanding().get() as usize;
        assert_eq!(known, self.started.len(), "a started send was forgotten");
    }

    fn view<T>(&self, vm: &VmId, part: impl Fn(&TargetView<'_>) -> T) -> T {
        let view = self.table.views(self.now).find(|view| view.vm == vm);
        part(&view.expect("a picked target is in the table"))
    }
}

fn index_of(vm: &VmId) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap()
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

#[test]
fn only_targets_that_take_work_are_picked_and_every_started_send_finishes_once() {
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        let mut model = Model::new(seed);
        for step in steps {
            model.apply(&step);
        }
        while !model.started.is_empty() {
            model.apply(&Step::Finish {
                which: 0,
                outcome: SendOutcome::Abandoned,
            });
        }
        TestResult::from_bool(model.table.outstanding() == Slots::ZERO)
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(400)
        .quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}
