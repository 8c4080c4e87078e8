//! An owner that was paused for longer than the scaler waits for an unresponsive gateway has been removed from the table,
//! and other gateways were told which runners are draining. It must not lease from its old runner lists when it resumes.
//!
//! Guards against a failure in a series of restarts (seed 718, 16 gateways). A function's owner was paused for 1.3 s. Its
//! list still showed a runner as serving that the platform had listed as leaving 1.5 s before, and it leased the runner's
//! seat: "DRAIN: 1.684908057s after i-a3 of function-4 was listed as leaving: r22-000188 /once-4/x at edge-1". Its
//! controller had logged "gateway timed out gateway=edge-8" in between.

mod common;

use common::{lease_request, leases, runner, update};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{Member, OwnershipTable, UpdateVersion};
use seat_leases::LeaseOwner;
use std::sync::Arc;

const ME: &str = "me";
/// Milliseconds between two ticks of a running gateway.
const TICK_MS: u64 = 50;
/// Duration of the pause in milliseconds.
const PAUSE_MS: u64 = 1_300;

/// An owner of all functions with one runner of two seats, ticked until `end`.
fn owner_ticked_until(end: u64) -> LeaseOwner {
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    let table = OwnershipTable {
        version: UpdateVersion { term: 1, number: 1 },
        members: vec![Member {
            name: ME.into(),
            incarnation: 1,
            ..Member::default()
        }],
        joined: vec![ME.into()],
        leaving: Vec::new(),
        is_first: true,
    };
    owner.apply_table(0, Arc::new(seat_leases::OwnershipTable::agreed(table)));
    owner.update_runners(0, update(1, &[runner("r", "north", 2)]));
    for now in (0..=end).step_by(TICK_MS as usize) {
        owner.tick(now);
    }
    owner
}

#[test]
fn a_paused_owner_does_not_lease_from_its_old_runner_list() {
    let mut owner = owner_ticked_until(1_000);
    let resumed_at = 1_000 + PAUSE_MS;
    owner.request_lease(resumed_at, ME, "north", lease_request(1, 1));
    assert!(
        leases(&mut owner).is_empty(),
        "leased from the old runner list"
    );
    owner.update_runners(resumed_at + 20, update(2, &[runner("r", "north", 2)]));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
}

#[test]
fn an_owner_that_was_not_paused_leases_at_once() {
    let mut owner = owner_ticked_until(1_000 + PAUSE_MS);
    let now = 1_000 + PAUSE_MS + TICK_MS;
    owner.request_lease(now, ME, "north", lease_request(1, 1));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
}
