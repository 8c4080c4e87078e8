//! A fleet of gateways in three regions whose owners join, leave and lose contact with one another. A runner never gets
//! more requests than its quota during planned ownership changes or cut links between gateways, and no request is lost
//! under any fault.
//!
//! `FLEET_SEEDS=0-200 cargo test --release -p seat_leases --test ownership_fleet` runs more seeds than the default.

mod fleet;

use fleet::{Fleet, FleetOptions, BUSY_FUNCTIONS};
use rand::Rng;

const REQUESTS_PER_SECOND: f64 = 500.0;
/// Milliseconds for which a drained runner stays away.
const DRAINED_FOR_MS: u64 = 7_000;
/// Number of seeds run by default.
const SEEDS: u64 = 12;

fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("FLEET_SEEDS").unwrap_or_default();
    let bounds = asked.split_once('-');
    let asked = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    asked.unwrap_or(0..SEEDS)
}

/// A fleet that has run for a second.
fn fleet(seed: u64, gateways: usize, is_agreed: bool) -> Fleet {
    let mut fleet = Fleet::new(&FleetOptions {
        seed,
        gateways,
        functions: 60,
        is_agreed,
    });
    fleet.run_until(1_000, REQUESTS_PER_SECOND);
    fleet
}

fn run(fleet: &mut Fleet, span_ms: u64) {
    fleet.run_until(fleet.now + span_ms, REQUESTS_PER_SECOND);
}

/// Checks that after any faults requests are served again within the quotas, and that no seats are leaked.
fn assert_recovers(fleet: &mut Fleet, seed: u64) {
    run(fleet, 4_000);
    let recovered_at = fleet.now;
    let before = fleet.outcomes.over_quota;
    run(fleet, 4_500);
    let outcomes = &fleet.outcomes;
    assert!(
        outcomes.last_timed_out_arrival < recovered_at,
        "seed {seed}: requests were lost: {outcomes:?}"
    );
    assert_eq!(outcomes.over_quota, before, "seed {seed}: {outcomes:?}");
    // Without clients, all seats are returned to their owners.
    fleet.run_until(fleet.now + 6_000, 1e-9);
    assert_eq!(fleet.usage(), (0, 0), "seed {seed}: seats were leaked");
}

/// Gateways stop as planned and restart, and new scaler terms begin.
fn simulate_planned_moves(fleet: &mut Fleet) {
    for step in 0..12 {
        let up = fleet.up();
        let index = up[fleet.random.random_range(0..up.len())];
        fleet.terminate(index);
        run(fleet, 700);
        fleet.kill(index);
        if step % 3 == 2 {
            fleet.begin_term();
        }
        run(fleet, 150);
        fleet.restart(index);
        let span = fleet.random.random_range(5..300);
        run(fleet, span);
    }
}

/// Links between gateways are cut for a while, in one direction or both.
fn simulate_cut_links(fleet: &mut Fleet, gateways: usize) {
    for _ in 0..8 {
        let one = fleet.random.random_range(0..gateways);
        let others: Vec<usize> = (0..gateways).filter(|other| *other != one).collect();
        let count = fleet.random.random_range(1..=others.len() / 2);
        let both = fleet.random.random_bool(0.5);
        for other in &others[..count] {
            fleet.cut_link(one, *other, both);
        }
        let span = fleet.random.random_range(300..3_000);
        run(fleet, span);
        for other in &others[..count] {
            fleet.heal_link(one, *other);
        }
        run(fleet, 300);
    }
}

/// Gateways are killed, paused and partitioned at any moment and several at a time, with and without a scaler.
fn simulate_losses(fleet: &mut Fleet, gateways: usize) {
    for step in 0..8 {
        let drawn = [(); 3].map(|()| fleet.random.random_range(0..gateways));
        let up = fleet.up();
        let mut chosen: Vec<usize> = drawn.into_iter().filter(|one| up.contains(one)).collect();
        chosen.sort_unstable();
        chosen.dedup();
        let kinds: Vec<u8> = chosen
            .iter()
            .map(|_| fleet.random.random_range(0..3))
            .collect();
        if step % 4 == 3 {
            fleet.set_scaler(false);
        }
        for (index, kind) in chosen.iter().zip(&kinds) {
            match kind {
                0 => fleet.kill(*index),
                1 => fleet.pause(*index),
                _ => fleet.cut_off(*index),
            }
            let pause = fleet.random.random_range(1..200);
            run(fleet, pause);
        }
        let span = fleet.random.random_range(100..2_500);
        run(fleet, span);
        if step % 4 == 3 {
            fleet.set_scaler(true);
        }
        for (index, kind) in chosen.iter().zip(&kinds) {
            match kind {
                0 => fleet.restart(*index),
                1 => fleet.resume(*index),
                _ => fleet.reconnect(*index),
            }
            run(fleet, 20);
        }
        run(fleet, 800);
    }
}

/// Gateways are killed and restarted, some twice within seconds, or stop as planned. Meanwhile runners of busy functions
/// are drained one after the other and return later. A scaler is running all the time.
fn simulate_draining_runners(fleet: &mut Fleet) {
    let mut drained: Vec<(usize, usize, u64)> = Vec::new();
    for _ in 0..60 {
        let now = fleet.now;
        for (function, number, _) in drained.extract_if(.., |(.., at)| *at + DRAINED_FOR_MS <= now)
        {
            fleet.set_runner_draining(function, number, false);
        }
        let function = fleet.random.random_range(0..BUSY_FUNCTIONS);
        if !drained.iter().any(|(other, ..)| *other == function) {
            let number = fleet.random.random_range(0..3);
            fleet.set_runner_draining(function, number, true);
            drained.push((function, number, fleet.now));
        }
        let up = fleet.up();
        let index = up[fleet.random.random_range(0..up.len())];
        if fleet.random.random_bool(0.3) {
            fleet.terminate(index);
            run(fleet, 400);
        }
        fleet.kill(index);
        run(fleet, 150);
        fleet.restart(index);
        let kill_again_after = fleet.random.random_range(50..2_500);
        run(fleet, kill_again_after);
        if fleet.random.random_bool(0.5) && fleet.up().contains(&index) {
            fleet.kill(index);
            run(fleet, 100);
            fleet.restart(index);
        }
        run(fleet, 60);
    }
    for (function, number, _) in drained {
        fleet.set_runner_draining(function, number, false);
    }
}

/// Checks that a simulation never exceeds a runner's quota and that the fleet recovers afterwards.
fn assert_within_quotas(simulate: impl Fn(&mut Fleet)) {
    for seed in seeds() {
        let mut fleet = fleet(seed, 20, true);
        simulate(&mut fleet);
        assert_eq!(
            fleet.outcomes.over_quota, 0,
            "seed {seed}: {:?}",
            fleet.outcomes
        );
        assert_recovers(&mut fleet, seed);
    }
}

#[test]
fn planned_moves_never_exceed_a_quota() {
    assert_within_quotas(simulate_planned_moves);
}

#[test]
fn cut_links_never_exceed_a_quota() {
    assert_within_quotas(|fleet| simulate_cut_links(fleet, 20));
}

#[test]
fn no_request_reaches_a_runner_long_after_it_began_to_drain() {
    for seed in seeds() {
        let mut fleet = fleet(seed, 20, true);
        simulate_draining_runners(&mut fleet);
        assert_eq!(fleet.outcomes.late, 0, "seed {seed}: {:?}", fleet.outcomes);
        assert_recovers(&mut fleet, seed);
    }
}

#[test]
fn lost_gateways_strand_no_requests() {
    let (mut sent, mut over_quota) = (0, 0);
    for seed in seeds() {
        let mut fleet = fleet(seed, 75, true);
        simulate_losses(&mut fleet, 75);
        sent += fleet.outcomes.served;
        over_quota += fleet.outcomes.over_quota;
        assert_recovers(&mut fleet, seed);
    }
    println!("over a quota: {over_quota} of {sent} requests");
}

/// Shows that the agreed table is needed: the same simulations exceed quotas without it.
#[test]
fn without_an_agreed_table_owners_exceed_quotas() {
    let mut over_quota = 0;
    for seed in 0..4 {
        let mut planned = fleet(seed, 20, false);
        simulate_planned_moves(&mut planned);
        let mut cut = fleet(seed, 20, false);
        simulate_cut_links(&mut cut, 20);
        over_quota += planned.outcomes.over_quota + cut.outcomes.over_quota;
    }
    assert!(over_quota > 0);
    println!("over a quota without an agreed table: {over_quota}");
}
