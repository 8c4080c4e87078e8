//! A request aborted by its gateway occupies its seat until the runner notices.
//!
//! Guards against a failure in a series of runs with 72 gateways (seed 424). The runners of one function rejected 11 and 12
//! requests within 5 s because their concurrency was exceeded, where 10 are allowed. In all twelve cases the owner had
//! leased the seat again at once, while the runner was still processing a request whose gateway had closed the connection
//! because the response was overdue. The runner noticed 0.2 to 9.8 ms later: "LIMIT: 12 rejections of function-0 in 5s:
//! r12-000328@i-ee 21.7s (abandoned r93-000365 noticed 2.7ms later), …".

mod common;

use common::{lease_request, leases, release, runner, update};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{LeaseOutcome, LeaseRelease, ABORTED_DURATION_MS};
use seat_leases::LeaseOwner;

const GATEWAY: &str = "edge-1";
/// Milliseconds within which a runner notices a closed connection and frees the seat.
const NOTICED_AFTER_MS: u64 = 50;

/// An owner with one runner whose two seats are both leased.
fn full_owner() -> LeaseOwner {
    let mut owner = LeaseOwner::standalone(LeasingPolicy::default(), Topology::default());
    owner.update_runners(0, update(1, &[runner("r", "north", 2)]));
    for request in [1, 2] {
        owner.request_lease(0, GATEWAY, "north", lease_request(request, 1));
    }
    assert_eq!(leases(&mut owner).len(), 2);
    owner.request_lease(0, GATEWAY, "north", lease_request(3, 1));
    assert!(leases(&mut owner).is_empty());
    owner
}

fn aborted(outcome: LeaseOutcome) -> LeaseRelease {
    release(1, outcome, ABORTED_DURATION_MS)
}

#[test]
fn the_seat_of_an_aborted_request_is_not_leased_until_its_runner_notices() {
    for outcome in [LeaseOutcome::Lost, LeaseOutcome::Unused] {
        let mut owner = full_owner();
        owner.release(1_000, GATEWAY, &aborted(outcome));
        assert!(leases(&mut owner).is_empty(), "{outcome:?}");
        owner.tick(1_000 + NOTICED_AFTER_MS);
        assert!(leases(&mut owner).is_empty(), "{outcome:?}");
        owner.tick(1_000 + 2 * NOTICED_AFTER_MS);
        assert_eq!(leases(&mut owner), [(3, "r".to_string())]);
    }
}

#[test]
fn a_seat_that_was_never_used_or_whose_connection_the_runner_closed_is_free_at_once() {
    for outcome in [LeaseOutcome::Lost, LeaseOutcome::Unused] {
        let mut owner = full_owner();
        owner.release(1_000, GATEWAY, &release(1, outcome, 400));
        assert_eq!(leases(&mut owner), [(3, "r".to_string())]);
    }
}
