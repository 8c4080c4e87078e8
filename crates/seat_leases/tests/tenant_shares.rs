//! Seats are shared fairly between tenants: a tenant that sends many more requests than others waits behind its own.

mod common;

use common::{lease_request, owner_with, rejections, release, request_ids, runner};
use fuzzing::seeded;
use protocol::{LeaseOutcome, LeaseRequest, RequestId, RequestTenant};
use seat_leases::LeaseOwner;
use std::collections::BTreeMap;

/// Maximum number of waiting requests per function.
const WAITING_MAX: u64 = 512;
/// Request timeout in milliseconds, long enough that no request is rejected because of its expected wait.
const LONG_TIMEOUT_MS: u32 = 600_000;

fn of_tenant(request_id: u64, tenant: &str) -> LeaseRequest {
    LeaseRequest {
        timeout_ms: LONG_TIMEOUT_MS,
        tenant: Some(RequestTenant {
            name: tenant.into(),
            priority: 0,
        }),
        ..lease_request(request_id, 1)
    }
}

fn with_priorities(request_id: u64, tenant_priority: u8, priority: u8) -> LeaseRequest {
    LeaseRequest {
        tenant: Some(RequestTenant {
            name: format!("tenant-{tenant_priority}"),
            priority: tenant_priority,
        }),
        ..lease_request(request_id, priority)
    }
}

/// An owner of one seat, which is in use.
fn busy_owner() -> LeaseOwner {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.request_lease(0, "f", "north", of_tenant(0, "first"));
    assert_eq!(request_ids(&mut owner), [0]);
    owner
}

/// Releases the seat up to `most` times. Returns the requests that got it, in order.
fn serve(owner: &mut LeaseOwner, first: u64, most: usize) -> Vec<u64> {
    let mut in_use = first;
    let mut served = Vec::new();
    for _ in 0..most {
        owner.release(1, "f", &release(in_use, LeaseOutcome::Succeeded, 1));
        let Some(next) = request_ids(owner).first().copied() else {
            break;
        };
        served.push(next);
        in_use = next;
    }
    served
}

#[test]
fn tenants_take_turns_however_many_requests_one_of_them_has() {
    let mut owner = busy_owner();
    for request_id in 1..=200 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "flood"));
    }
    for request_id in 301..=303 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "small"));
    }
    owner.request_lease(0, "f", "north", of_tenant(401, "single"));
    let served = serve(&mut owner, 0, 8);
    assert_eq!(served, [1, 301, 401, 2, 302, 3, 303, 4]);
}

#[test]
fn a_tenant_that_starts_late_gets_an_equal_share_from_then_on() {
    let mut owner = busy_owner();
    for request_id in 1..=50 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "flood"));
    }
    assert_eq!(serve(&mut owner, 0, 20).len(), 20);
    for request_id in 101..=110 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "late"));
    }
    let served = serve(&mut owner, 20, 6);
    let of_late = served.iter().filter(|id| **id > 100).count();
    assert_eq!(of_late, 3, "{served:?}");
}

#[test]
fn cancelled_requests_do_not_cost_their_tenant_a_round() {
    let mut owner = busy_owner();
    for request_id in 1..=100 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "fickle"));
    }
    for request_id in 201..=220 {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "steady"));
    }
    for request_id in 1..=100 {
        owner.cancel(0, "f", RequestId(request_id));
    }
    owner.request_lease(0, "f", "north", of_tenant(150, "fickle"));
    let served = serve(&mut owner, 0, 2);
    assert!(served.contains(&150), "{served:?}");
}

#[test]
fn a_tenants_priority_takes_precedence_over_that_of_the_request() {
    let mut owner = busy_owner();
    let priorities = [(1, 1, 0), (2, 0, 2), (3, 0, 1), (4, 2, 0), (5, 1, 3)];
    for (request_id, tenant_priority, priority) in priorities {
        let request = with_priorities(request_id, tenant_priority, priority);
        owner.request_lease(0, "f", "north", request);
    }
    assert_eq!(serve(&mut owner, 0, 5), [3, 2, 1, 5, 4]);
}

#[test]
fn a_full_queue_displaces_its_last_request_for_one_that_precedes_it() {
    let mut owner = busy_owner();
    for request_id in 1..=WAITING_MAX {
        owner.request_lease(0, "f", "north", of_tenant(request_id, "flood"));
    }
    assert!(rejections(&mut owner).is_empty());
    owner.request_lease(0, "f", "north", of_tenant(600, "flood"));
    assert_eq!(rejections(&mut owner).first().map(|one| one.0), Some(600));
    owner.request_lease(0, "f", "north", of_tenant(601, "small"));
    let rejected = rejections(&mut owner);
    assert_eq!(rejected.first().map(|one| one.0), Some(WAITING_MAX));
    owner.check_lease_accounting();
    assert_eq!(serve(&mut owner, 0, 2), [1, 601]);
}

#[test]
fn without_tenants_the_longer_wait_goes_first() {
    let mut owner = busy_owner();
    for request_id in 1..=20 {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
    }
    let expected: Vec<u64> = (1..=20).collect();
    assert_eq!(serve(&mut owner, 0, 20), expected);
}

seeded! {
    // Among tenants that always have waiting requests, none gets more than one seat more than another.
    fn constantly_waiting_tenants_get_equal_shares(sizes: Vec<u8>, seats: u8) -> bool {
        let sizes: Vec<u64> = sizes.iter().take(6).map(|size| 20 + u64::from(*size % 60)).collect();
        let mut owner = busy_owner();
        for (tenant, size) in sizes.iter().enumerate() {
            for number in 0..*size {
                let id = 1_000 * (tenant as u64 + 1) + number;
                owner.request_lease(0, "f", "north", of_tenant(id, &format!("tenant-{tenant}")));
            }
        }
        let rejected = rejections(&mut owner).len();
        let most = usize::from(seats % 20) * sizes.len().max(1);
        let mut shares: BTreeMap<u64, usize> = (1..=sizes.len() as u64).map(|tenant| (tenant, 0)).collect();
        for id in serve(&mut owner, 0, most) {
            *shares.entry(id / 1_000).or_default() += 1;
        }
        let most = shares.values().max().copied().unwrap_or(0);
        let least = shares.values().min().copied().unwrap_or(0);
        rejected == 0 && most - least <= 1
    }
}
