//! What a coordinator of jobs believes of other gateways once its process stood still.

mod running_job;

use jobs::{JobAction, JobCoordinator};
use process_pause::ProcessPause;
use protocol::RegisterResponse;
use running_job::{admission, last_register_request, lease_request, running};

/// A copy waits for a job that another gateway runs, whose incarnation the membership that is known here does not name yet.
fn waiting_for_unknown_gateway() -> JobCoordinator {
    let mut jobs = JobCoordinator::new(2, 10_000);
    let mut admission = admission();
    let (_, claim) = running(&mut admission);
    jobs.request_arrived(
        0,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k2")),
    );
    let (number, _) = last_register_request(&jobs.take_actions());
    jobs.register_responded(1, number, RegisterResponse::Found(1, claim));
    jobs.take_actions();
    jobs
}

/// A coordinator that stood still took the gateway of a job for gone by the membership of before, and told a copy of the request that it may
/// have run, before it had read the membership that names it. Two seconds in which nothing was read are no reason to believe that.
#[test]
fn a_gateway_that_runs_a_job_is_not_taken_for_gone_by_the_membership_of_before_a_pause() {
    let mut jobs = waiting_for_unknown_gateway();
    jobs.advance_clock(50, |_, _| true);
    jobs.take_actions();
    let pause = ProcessPause {
        began_at: 50,
        ended_at: 2_400,
    };
    jobs.process_paused(pause);
    jobs.advance_clock(2_400, |_, _| true);
    let (number, _) = last_register_request(&jobs.take_actions());
    let mut admission = admission();
    let (_, claim) = running(&mut admission);
    jobs.register_responded(2_401, number, RegisterResponse::Found(1, claim));
    let told = jobs.take_actions();
    let is_verdict = |action: &JobAction| matches!(action, JobAction::NotifyVerdict { .. });
    assert!(!told.iter().any(is_verdict), "{told:?}");
}
