//! Requests of other daemons that no caller can have made.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold::fleet::{FleetAnswer, FleetRequest};
use vanillafold_jobs::{JobSpec, StepSpec};

use crate::fixture::{run, start, submission, submit_until_accepted, wait_until};
use crate::platform::StoreState;

/// Returns a submission whose description is changed.
fn changed_submission(number: u64, change: fn(&mut JobSpec)) -> FleetRequest {
    match submission(number) {
        FleetRequest::Submit(id, mut spec) => {
            change(&mut spec);
            FleetRequest::Submit(id, spec)
        }
        other => other,
    }
}

#[test]
fn an_owner_refuses_an_invalid_description_and_goes_on() {
    run(async {
        let state = Rc::new(RefCell::new(StoreState::default()));
        let owner = start(&state, "owner", 500);
        wait_until("the owner is ready", || owner.fleet_daemon.is_ready()).await;
        submit_until_accepted(&owner, 2).await;
        let changes: [fn(&mut JobSpec); 5] = [
            |spec| spec.steps[0].after = vec![7],
            |spec| spec.steps[0].count = u32::MAX,
            |spec| spec.steps[0].count = 0,
            |spec| spec.steps = vec![StepSpec::default(); 200],
            |spec| spec.text = "x".repeat(100_000),
        ];

        let mut answers = Vec::new();
        for (number, change) in (7..).zip(changes) {
            let request = changed_submission(number, change);
            answers.push(owner.fleet_daemon.forward(&request, 5_000).await);
        }

        let is_refused = |answer: &FleetAnswer| matches!(answer, FleetAnswer::Refused { .. });
        assert!(answers.iter().all(is_refused), "{answers:?}");
        submit_until_accepted(&owner, 1).await;
    });
}
