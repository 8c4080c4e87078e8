//! The job coordinator's view of other gateways after a pause of its process.

mod running_job;

use jobs::{JobAction, JobCoordinator};
use process_pause::ProcessPause;
use protocol::RegisterResponse;
use running_job::{admission, last_register_request, lease_request, start_job};

/// Returns a coordinator at which a request waits for a job that another gateway runs, and whose known membership does not list
/// that gateway's incarnation yet.
fn waiting_for_unknown_gateway() -> JobCoordinator {
    let mut jobs = JobCoordinator::new(2, 10_000);
    let mut admission = admission();
    let (_, claim) = start_job(&mut admission);
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

/// Guards against a coordinator that, after a pause of its process, considers the gateway that runs a job gone because of the
/// membership it knew before the pause. It then reported the job as possibly run, although the membership that lists the gateway
/// had only not been read yet. Two seconds in which nothing was read must not count towards the timeout of a missing gateway.
#[test]
fn a_membership_from_before_a_pause_does_not_make_a_job_holder_count_as_gone() {
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
    let (_, claim) = start_job(&mut admission);
    jobs.register_responded(2_401, number, RegisterResponse::Found(1, claim));
    let actions = jobs.take_actions();
    let is_verdict = |action: &JobAction| matches!(action, JobAction::NotifyVerdict { .. });
    assert!(!actions.iter().any(is_verdict), "{actions:?}");
}
