//! Two owners lease seats of the same runners, as happens while gateways disagree on a function's owner. The runners reject
//! requests above their concurrency. The owners must converge to the common limit quickly and stay there.

mod common;

use common::{lease_request, leases, owner_with, release, runner};
use protocol::{LeaseOutcome, RequestId, RunnerUpdate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use seat_leases::LeaseOwner;
use std::collections::BTreeMap;

const CONCURRENCY: u32 = 4;
const RUNNERS: usize = 6;
const WORK_MS: u64 = 45;
const STEP_MS: u64 = 5;
/// Time window over which rejections are counted.
const WINDOW_MS: u64 = 5_000;

struct InFlight {
    owner: usize,
    request_id: u64,
    runner: String,
    ends_at: u64,
    outcome: LeaseOutcome,
}

struct SimulatedCluster {
    now: u64,
    owners: Vec<LeaseOwner>,
    in_flight: Vec<InFlight>,
    rejected_at: Vec<u64>,
    answered: u64,
    request_id: u64,
    random: StdRng,
}

impl SimulatedCluster {
    fn new(seed: u64, owners: usize) -> Self {
        let runners: Vec<RunnerUpdate> = (0..RUNNERS)
            .map(|index| runner(&format!("r{index}"), "north", CONCURRENCY))
            .collect();
        Self {
            now: 0,
            owners: (0..owners).map(|_| owner_with(&runners)).collect(),
            in_flight: Vec::new(),
            rejected_at: Vec::new(),
            answered: 0,
            request_id: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn step(&mut self, arrivals: f64) {
        self.now += STEP_MS;
        self.end_due_requests();
        for index in 0..self.owners.len() {
            if self.random.random_bool(arrivals) {
                self.request_id += 1;
                let request = lease_request(self.request_id, 1);
                self.owners[index].request_lease(self.now, "f", "north", request);
            }
            self.owners[index].tick(self.now);
            for (request_id, runner) in leases(&mut self.owners[index]) {
                self.send(index, request_id, runner);
            }
        }
    }

    fn send(&mut self, owner: usize, request_id: u64, runner: String) {
        let runs = self.in_flight.iter();
        let runs =
            runs.filter(|one| one.runner == runner && one.outcome == LeaseOutcome::Succeeded);
        let is_full = runs.count() >= CONCURRENCY as usize;
        let (outcome, work_ms) = if is_full {
            self.rejected_at.push(self.now);
            (LeaseOutcome::Rejected, STEP_MS)
        } else {
            (
                LeaseOutcome::Succeeded,
                self.random.random_range(WORK_MS / 2..WORK_MS * 2),
            )
        };
        self.in_flight.push(InFlight {
            owner,
            request_id,
            runner,
            ends_at: self.now + work_ms,
            outcome,
        });
    }

    fn end_due_requests(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|one: &InFlight| one.ends_at <= now);
        self.in_flight = rest;
        for one in due {
            self.answered += u64::from(one.outcome == LeaseOutcome::Succeeded);
            let release = release(one.request_id, one.outcome, WORK_MS as u32);
            self.owners[one.owner].release(now, "f", &release);
        }
    }

    /// Maximum number of rejections in a window, from a given time on.
    fn max_rejections_in_window(&self, from: u64) -> usize {
        let counted: Vec<u64> = self
            .rejected_at
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |start: &u64| {
            counted
                .iter()
                .filter(|at| (*start..*start + WINDOW_MS).contains(at))
                .count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }
}

#[test]
fn two_owners_of_the_same_runners_converge_to_their_concurrency() {
    let mut worst: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::new(seed, 2);
        while cluster.now < 25_000 {
            cluster.step(0.85);
        }
        worst.insert(seed, cluster.max_rejections_in_window(0));
        let share = cluster.answered as f64 / cluster.request_id as f64;
        assert!(share > 0.5, "seed {seed}: {share} of all were answered");
    }
    println!("most rejections in {WINDOW_MS} ms by seed: {worst:?}");
    let bound = 4 * RUNNERS;
    assert!(worst.values().all(|count| *count <= bound), "{worst:?}");
}

#[test]
fn a_single_owner_is_never_rejected_and_uses_the_whole_quota() {
    let mut cluster = SimulatedCluster::new(1, 1);
    while cluster.now < 10_000 {
        cluster.step(1.0);
    }
    assert_eq!(cluster.rejected_at.len(), 0);
    let most = u64::from(CONCURRENCY) * RUNNERS as u64 * cluster.now / WORK_MS;
    assert!(
        cluster.answered > most.min(cluster.request_id) * 3 / 4,
        "{} of {}",
        cluster.answered,
        cluster.request_id
    );
}

/// Number of leases issued when more are requested than the runner has seats.
fn leased_at(owner: &mut LeaseOwner, now: u64, first: u64) -> usize {
    for request_id in first..first + u64::from(CONCURRENCY) {
        owner.request_lease(now, "f", "north", lease_request(request_id, 1));
    }
    let leased = leases(owner);
    for (request_id, _) in &leased {
        owner.release(now, "f", &release(*request_id, LeaseOutcome::Unused, 0));
    }
    leased.len()
}

#[test]
fn after_a_rejection_the_window_is_held_and_then_grows_by_one_per_second() {
    let mut owner = owner_with(&[runner("a", "north", CONCURRENCY)]);
    for request_id in 1..=3 {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
    }
    assert_eq!(leases(&mut owner).len(), 3);
    owner.release(10, "f", &release(3, LeaseOutcome::Rejected, 1));
    for request_id in 1..=2 {
        owner.release(20, "f", &release(request_id, LeaseOutcome::Succeeded, 20));
    }
    owner.request_lease(30, "f", "north", lease_request(10, 1));
    owner.request_lease(30, "f", "north", lease_request(11, 1));
    owner.request_lease(30, "f", "north", lease_request(12, 1));
    owner.tick(100);
    assert_eq!(
        leases(&mut owner).len(),
        2,
        "as many as it held besides the rejected one"
    );
    for request_id in 10..=12 {
        owner.cancel(200, "f", RequestId(request_id));
    }
    leases(&mut owner);
    assert_eq!(leased_at(&mut owner, 1_020, 20), 3);
    for request_id in 20..30 {
        owner.cancel(1_030, "f", RequestId(request_id));
    }
    leases(&mut owner);
    assert_eq!(leased_at(&mut owner, 2_020, 40), 4);
}
