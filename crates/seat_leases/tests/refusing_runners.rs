//! Two keepers lend the seats of the same runners, as while gateways disagree on who keeps a function. The runners
//! refuse what is over their concurrency; the keepers must find their common bound soon and stay there.

mod common;

use common::{bid, grants, keeper, release, runner};
use protocol::{LeaseOutcome, RequestId, RunnerUpdate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use seat_leases::LeaseOwner;
use std::collections::BTreeMap;

const CONCURRENCY: u32 = 4;
const RUNNERS: usize = 6;
const WORK_MS: u64 = 45;
const STEP_MS: u64 = 5;
/// Span over which refusals are counted.
const SPAN_MS: u64 = 5_000;

struct InFlight {
    keeper: usize,
    ticket: u64,
    runner: String,
    ends_at: u64,
    outcome: LeaseOutcome,
}

struct Town {
    now: u64,
    keepers: Vec<LeaseOwner>,
    in_flight: Vec<InFlight>,
    refused_at: Vec<u64>,
    answered: u64,
    ticket: u64,
    random: StdRng,
}

impl Town {
    fn new(seed: u64, keepers: usize) -> Self {
        let runners: Vec<RunnerUpdate> = (0..RUNNERS)
            .map(|place| runner(&format!("r{place}"), "north", CONCURRENCY))
            .collect();
        Self {
            now: 0,
            keepers: (0..keepers).map(|_| keeper(&runners)).collect(),
            in_flight: Vec::new(),
            refused_at: Vec::new(),
            answered: 0,
            ticket: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn step(&mut self, arrivals: f64) {
        self.now += STEP_MS;
        self.end_what_is_due();
        for place in 0..self.keepers.len() {
            if self.random.random_bool(arrivals) {
                self.ticket += 1;
                let bid = bid(self.ticket, 1);
                self.keepers[place].request_lease(self.now, "f", "north", bid);
            }
            self.keepers[place].tick(self.now);
            for (ticket, runner) in grants(&mut self.keepers[place]) {
                self.send(place, ticket, runner);
            }
        }
    }

    fn send(&mut self, keeper: usize, ticket: u64, runner: String) {
        let runs = self.in_flight.iter();
        let runs =
            runs.filter(|one| one.runner == runner && one.outcome == LeaseOutcome::Succeeded);
        let is_full = runs.count() >= CONCURRENCY as usize;
        let (outcome, takes) = if is_full {
            self.refused_at.push(self.now);
            (LeaseOutcome::Rejected, STEP_MS)
        } else {
            (
                LeaseOutcome::Succeeded,
                self.random.random_range(WORK_MS / 2..WORK_MS * 2),
            )
        };
        self.in_flight.push(InFlight {
            keeper,
            ticket,
            runner,
            ends_at: self.now + takes,
            outcome,
        });
    }

    fn end_what_is_due(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|one: &InFlight| one.ends_at <= now);
        self.in_flight = rest;
        for one in due {
            self.answered += u64::from(one.outcome == LeaseOutcome::Succeeded);
            let release = release(one.ticket, one.outcome, WORK_MS as u32);
            self.keepers[one.keeper].release(now, "f", &release);
        }
    }

    /// Most refusals within a span, from a time on.
    fn worst_span(&self, from: u64) -> usize {
        let counted: Vec<u64> = self
            .refused_at
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |start: &u64| {
            counted
                .iter()
                .filter(|at| (*start..*start + SPAN_MS).contains(at))
                .count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }
}

#[test]
fn two_keepers_of_the_same_runners_find_their_common_bound() {
    let mut worst: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..20 {
        let mut town = Town::new(seed, 2);
        while town.now < 25_000 {
            town.step(0.85);
        }
        worst.insert(seed, town.worst_span(0));
        let share = town.answered as f64 / town.ticket as f64;
        assert!(share > 0.5, "seed {seed}: {share} of all were answered");
    }
    println!("most refusals in {SPAN_MS} ms by seed: {worst:?}");
    let bound = 4 * RUNNERS;
    assert!(worst.values().all(|count| *count <= bound), "{worst:?}");
}

#[test]
fn one_keeper_alone_is_never_refused_and_lends_the_whole_quota() {
    let mut town = Town::new(1, 1);
    while town.now < 10_000 {
        town.step(1.0);
    }
    assert_eq!(town.refused_at.len(), 0);
    let most = u64::from(CONCURRENCY) * RUNNERS as u64 * town.now / WORK_MS;
    assert!(
        town.answered > most.min(town.ticket) * 3 / 4,
        "{} of {}",
        town.answered,
        town.ticket
    );
}

/// Grants of a keeper that is asked for more than its runner can carry.
fn lent_at(keeper: &mut LeaseOwner, now: u64, first: u64) -> usize {
    for ticket in first..first + u64::from(CONCURRENCY) {
        keeper.request_lease(now, "f", "north", bid(ticket, 1));
    }
    let lent = grants(keeper);
    for (ticket, _) in &lent {
        keeper.release(now, "f", &release(*ticket, LeaseOutcome::Unused, 0));
    }
    lent.len()
}

#[test]
fn after_a_refusal_the_window_stays_small_and_grows_by_one_a_second() {
    let mut keeper = keeper(&[runner("a", "north", CONCURRENCY)]);
    for ticket in 1..=3 {
        keeper.request_lease(0, "f", "north", bid(ticket, 1));
    }
    assert_eq!(grants(&mut keeper).len(), 3);
    keeper.release(10, "f", &release(3, LeaseOutcome::Rejected, 1));
    for ticket in 1..=2 {
        keeper.release(20, "f", &release(ticket, LeaseOutcome::Succeeded, 20));
    }
    keeper.request_lease(30, "f", "north", bid(10, 1));
    keeper.request_lease(30, "f", "north", bid(11, 1));
    keeper.request_lease(30, "f", "north", bid(12, 1));
    keeper.tick(100);
    assert_eq!(
        grants(&mut keeper).len(),
        2,
        "as many as it carried beside the refused one"
    );
    for ticket in 10..=12 {
        keeper.cancel(200, "f", RequestId(ticket));
    }
    grants(&mut keeper);
    assert_eq!(lent_at(&mut keeper, 1_020, 20), 3);
    for ticket in 20..30 {
        keeper.cancel(1_030, "f", RequestId(ticket));
    }
    grants(&mut keeper);
    assert_eq!(lent_at(&mut keeper, 2_020, 40), 4);
}
