//! Breaks each invariant of the seats on purpose and expects its check to panic.

use crate::lease_holder::LeaseHolder;
use crate::seat_runner::SeatRunner;
use protocol::{RequestId, RunnerStage, RunnerUpdate};

#[test]
#[should_panic(expected = "seats_within_quota")]
fn more_seats_are_leased_than_the_quota() {
    let update = RunnerUpdate {
        id: "runner-1".into(),
        address: "127.0.0.1:1".into(),
        zone: "zone-1".into(),
        quota: 2,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    };
    let mut runner = SeatRunner::new(update, 0, &policy::LeasingPolicy::default());
    for number in 0..3 {
        runner.lease(LeaseHolder::new("gateway-1", RequestId(number)));
    }
}
