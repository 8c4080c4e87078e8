//! A member that missed thousands of changes catches up with few bytes over a slow link, and never serves outdated
//! values meanwhile.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;

/// Size of a compressed configuration with 700 routes.
const VALUE_BYTES: usize = 64 << 10;
const CHANGES: u64 = 2_000;
/// Interval between reads at the returning member.
const READ_INTERVAL_MS: u64 = 500;
/// Interval between rapid changes.
const CHANGE_INTERVAL_MS: u64 = 80;

fn committed_version(cluster: &SimulatedCluster, index: usize) -> u64 {
    let consensus = cluster.nodes[index].consensus.as_ref();
    let committed = consensus.and_then(|consensus| consensus.committed(CONFIGURATION_KEY));
    committed.map_or(0, |(version, _)| version)
}

fn voter_version(cluster: &SimulatedCluster, index: usize) -> u64 {
    let voter = cluster.nodes[index].voter.as_ref();
    let held = voter.and_then(|voter| voter.voter().acceptor().register(CONFIGURATION_KEY));
    held.map_or(0, |held| held.value.version)
}

fn start_write(
    cluster: &mut SimulatedCluster,
    index: usize,
    key: &str,
    expected: u64,
    length: usize,
) {
    let mut bytes = vec![0; length];
    cluster.random.fill(&mut bytes[..]);
    let token = cluster
        .oracle
        .begin_request(key, Some((expected, bytes.clone())));
    let local_now = cluster.nodes[index].clock(cluster.now);
    let consensus = cluster.nodes[index].consensus.as_mut().unwrap();
    consensus.write(local_now, token, key, expected, bytes);
    cluster.process_actions(index);
}

fn write(cluster: &mut SimulatedCluster, key: &str, length: usize) {
    let expected = cluster.oracle.newest(key);
    start_write(cluster, 0, key, expected, length);
    let elapsed = cluster.run_until(1_500, |cluster| cluster.oracle.newest(key) > expected);
    assert!(elapsed.is_some(), "{key} was not written");
}

fn write_all(cluster: &mut SimulatedCluster) {
    for number in 0..CHANGES {
        write(cluster, CONFIGURATION_KEY, VALUE_BYTES);
        if number % 4 == 0 {
            write(cluster, &format!("job/{number}"), 600);
        }
    }
}

/// Reads at a returning controller. The oracle panics if a result is older than what was acknowledged.
fn read_during_recovery(cluster: &mut SimulatedCluster, duration: u64) -> Option<u64> {
    let started_at = cluster.now;
    let newest = cluster.oracle.newest(CONFIGURATION_KEY);
    let mut caught_up = None;
    let mut read_at = started_at;
    while cluster.now < started_at + duration {
        if cluster.now >= read_at {
            read_at += READ_INTERVAL_MS;
            for key in [CONFIGURATION_KEY, "job/0", "job/1996"] {
                cluster.request_change(2, key, false);
            }
        }
        cluster.run(10);
        if committed_version(cluster, 2) > 0 {
            assert_eq!(
                committed_version(cluster, 2),
                newest,
                "an outdated value counts as committed"
            );
        }
        if caught_up.is_none() && voter_version(cluster, 2) == newest {
            caught_up = Some(cluster.now - started_at);
        }
    }
    caught_up
}

fn restarted_after_many_changes(seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::idle(seed, 3);
    write(&mut cluster, CONFIGURATION_KEY, VALUE_BYTES);
    cluster.run(500);
    cluster.kill(2);
    write_all(&mut cluster);
    cluster.received.clear();
    cluster.slow_links.insert(2, 0);
    cluster.boot(2);
    cluster
}

#[test]
fn a_member_that_missed_thousands_of_changes_receives_only_the_newest_value() {
    let mut cluster = restarted_after_many_changes(1);
    let newest = cluster.oracle.newest(CONFIGURATION_KEY);
    let has_caught_up = |cluster: &SimulatedCluster| {
        let consensus = cluster.nodes[2].consensus.as_ref().unwrap();
        consensus.has_read_required_keys() && voter_version(cluster, 2) == newest
    };
    let elapsed = cluster.run_until(5_000, has_caught_up);
    cluster.run(5_000);
    let bytes = cluster.received[&2];
    println!("caught up in {elapsed:?} ms with {bytes} bytes");
    assert!(
        elapsed.is_some_and(|elapsed| elapsed < 1_500),
        "{elapsed:?}"
    );
    assert!(
        bytes < 3 * VALUE_BYTES as u64,
        "{bytes} bytes for one value of {VALUE_BYTES}"
    );
}

#[test]
fn a_returning_member_never_serves_outdated_reads() {
    for seed in 0..3 {
        let mut cluster = restarted_after_many_changes(seed);
        let reads = cluster.oracle.reads;
        let elapsed = read_during_recovery(&mut cluster, 5_000);
        let completed_reads = cluster.oracle.reads - reads;
        println!("caught up in {elapsed:?} ms, {completed_reads} reads completed meanwhile");
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < 4_000),
            "{elapsed:?}"
        );
        assert!(cluster.oracle.reads > reads + 15);
    }
}

#[test]
fn a_wiped_member_receives_each_key_once_from_each_other_member() {
    let mut cluster = SimulatedCluster::idle(2, 3);
    write_all(&mut cluster);
    cluster.wipe(2);
    let received = cluster.received.get(&2).copied().unwrap_or(0);
    cluster.slow_links.insert(2, 0);
    cluster.boot(2);
    let newest = cluster.oracle.newest(CONFIGURATION_KEY);
    let elapsed = cluster.run_until(30_000, |cluster| voter_version(cluster, 2) == newest);
    let bytes = cluster.received[&2] - received;
    let voter = cluster.nodes[0].voter.as_ref().unwrap();
    let state = voter
        .voter()
        .acceptor()
        .registers_after("")
        .map(|(key, held)| key.len() + held.value.bytes.len() + 80);
    let state: usize = state.sum();
    println!("installed in {elapsed:?} ms with {bytes} bytes; the state has {state} bytes");
    assert!(
        elapsed.is_some_and(|elapsed| elapsed < 10_000),
        "{elapsed:?}"
    );
    assert!(bytes < 4 * state as u64, "{bytes} bytes of {state}");
}

/// The writer cannot reach the member, which learns from another controller that there are newer values. These change
/// faster than the member waits for each of them.
#[test]
fn a_member_keeps_up_with_rapid_changes_that_it_learns_of_indirectly() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        write(&mut cluster, EVACUATIONS_KEY, 10);
        cluster.cut_links.insert((0, 2));
        cluster.cut_links.insert((2, 0));
        let mut lag = 0;
        for _ in 0..250 {
            let expected = cluster.oracle.newest(CONFIGURATION_KEY);
            start_write(&mut cluster, 0, CONFIGURATION_KEY, expected, 2_000);
            cluster.run(CHANGE_INTERVAL_MS);
            lag =
                lag.max(cluster.oracle.newest(CONFIGURATION_KEY) - committed_version(&cluster, 2));
        }
        let newest = cluster.oracle.newest(CONFIGURATION_KEY);
        assert!(newest > 150, "seed {seed}: {newest} changes");
        assert!(lag <= 12, "seed {seed}: {lag} changes behind");
    }
}
