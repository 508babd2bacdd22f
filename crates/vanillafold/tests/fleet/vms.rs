//! Operations on VMs by an owner that the store turns away.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold_jobs::{Resources, Vm, VmState};

use crate::fixture::{TestDaemon, run, start_in, submit_until_accepted, wait_until};
use crate::platform::{StoreState, WAVE_KEY};

/// More VMs than the owners have time to maintain in a test.
const VMS: usize = 200;

fn vm(number: usize) -> Vm {
    Vm {
        name: format!("vm-{number:03}"),
        pool: "pool-a".to_owned(),
        state: VmState::Up,
        capacity: Resources::default(),
        labels: Vec::new(),
        worker: None,
        zone: "zone-a".to_owned(),
    }
}

/// Starts six daemons in three zones, the first of which owns the shard and maintains VMs.
async fn fleet_under_maintenance(state: &Rc<RefCell<StoreState>>) -> Vec<TestDaemon> {
    state.borrow_mut().vms = (0..VMS).map(vm).collect();
    let mut daemons = vec![start_in("zone-a", state, "0", 500)];
    wait_until("the owner is ready", || daemons[0].fleet_daemon.is_ready()).await;
    for number in 1..6 {
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        daemons.push(start_in(zone, state, &number.to_string(), 500));
    }
    wait_until("all are ready", || {
        daemons.iter().all(|daemon| daemon.fleet_daemon.is_ready())
    })
    .await;
    let wave = (WAVE_KEY.to_owned(), vec![1]);
    state.borrow_mut().operator_changes.push(wave);
    wait_until("VMs are maintained", || {
        state.borrow().vm_operations.len() > 1
    })
    .await;
    daemons
}

/// Returns the operations that an earlier owner ordered after a later one had.
fn late_operations(state: &StoreState) -> Vec<String> {
    let mut late = Vec::new();
    let mut newest = 0;
    for (epoch, _, operation) in &state.vm_operations {
        newest = newest.max(*epoch);
        if *epoch < newest {
            late.push(format!("{operation:?} by {epoch} after {newest}"));
        }
    }
    late
}

// Another daemon that the store turned away went on to reach the owner and could not
// learn of its successor, so that both ordered maintenance side by side.
#[test]
fn an_owner_that_the_store_turns_away_operates_on_no_vm_beside_its_successor() {
    run(async {
        // The owner with another daemon, with three, and with its zone and one daemon of the next.
        for turned_away in [&[0, 1][..], &[0, 1, 2, 4], &[0, 3, 1]] {
            let state = Rc::new(RefCell::new(StoreState::default()));
            let daemons = fleet_under_maintenance(&state).await;
            let first_epoch = state.borrow().vm_operations[0].0;

            for number in turned_away {
                daemons[*number].store_unreachable.set(true);
            }
            wait_until("the next owner maintains VMs", || {
                let state = state.borrow();
                let later = state.vm_operations.iter();
                later.filter(|row| row.0 > first_epoch).count() > 2
            })
            .await;
            for number in turned_away {
                daemons[*number].store_unreachable.set(false);
            }
            submit_until_accepted(&daemons[0], 1).await;

            assert_eq!(late_operations(&state.borrow()), Vec::<String>::new());
        }
    });
}
