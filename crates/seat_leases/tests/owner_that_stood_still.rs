//! An owner of seats that stood still for longer than the scaler waits for a silent gateway was removed meanwhile, and runners that left were told
//! to others. What it knew before is no reason to lease anything once it wakes.
//!
//! In a series of restarts (seed 718, 16 gateways) the owner of a function stood still for 1.3 s. It woke beside a list that named a runner as
//! serving, which the platform had listed as leaving 1.5 s before, and leased its seat: "DRAIN: 1.684908057s after i-a3 of function-4 was
//! listed as leaving: r22-000188 /once-4/x at edge-1". Its controller had logged "gateway timed out gateway=edge-8" in between.

mod common;

use common::{lease_request, leases, runner, update};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{Member, OwnershipTable, UpdateVersion};
use seat_leases::LeaseOwner;
use std::sync::Arc;

const ME: &str = "me";
/// Milliseconds between two ticks of a gateway that does not stand still.
const TICK_MS: u64 = 50;
/// For so long it stands still.
const STOOD_STILL_MS: u64 = 1_300;

/// An owner of all functions that knows one runner of two seats, and ticks until a time.
fn owner_until(end: u64) -> LeaseOwner {
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
fn an_owner_that_stood_still_leases_by_no_list_of_before() {
    let mut owner = owner_until(1_000);
    let woken_at = 1_000 + STOOD_STILL_MS;
    owner.request_lease(woken_at, ME, "north", lease_request(1, 1));
    assert!(leases(&mut owner).is_empty(), "it leased by its old list");
    owner.update_runners(woken_at + 20, update(2, &[runner("r", "north", 2)]));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
}

#[test]
fn an_owner_that_ticks_leases_at_once() {
    let mut owner = owner_until(1_000 + STOOD_STILL_MS);
    let now = 1_000 + STOOD_STILL_MS + TICK_MS;
    owner.request_lease(now, ME, "north", lease_request(1, 1));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
}
