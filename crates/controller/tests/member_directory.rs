//! A redirector redirects operators only to members that are alive and in contact with a majority, whichever members it knew at
//! its start.

use controller::MemberDirectory;
use std::net::SocketAddr;

const POLL_INTERVAL_MS: u64 = 200;
const FRESHNESS_MS: u64 = 600;
const OWN_MACHINE: u8 = 99;

fn address(machine: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine], 7300))
}

fn directory(seeds: &[u8]) -> MemberDirectory {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    MemberDirectory::new(address(OWN_MACHINE), seeds, POLL_INTERVAL_MS, FRESHNESS_MS)
}

fn receive_heartbeat(
    directory: &mut MemberDirectory,
    now: u64,
    from: u8,
    is_current: bool,
    listed: &[u8],
) {
    let listed = listed.iter().map(|machine| address(*machine));
    directory.on_heartbeat(now, address(from), is_current, listed);
}

#[test]
fn only_members_with_a_valid_heartbeat_and_contact_are_returned() {
    let mut directory = directory(&[1, 2, OWN_MACHINE]);
    assert_eq!(
        directory.members_in_contact(0),
        [],
        "no heartbeat was received"
    );
    assert_eq!(directory.take_due_polls(0), [address(1), address(2)]);
    receive_heartbeat(&mut directory, 10, 1, true, &[1, 2, 3]);
    receive_heartbeat(&mut directory, 10, 2, false, &[1, 2]);
    assert_eq!(directory.members_in_contact(10), [address(1)]);
    assert_eq!(directory.members_in_contact(9 + FRESHNESS_MS), [address(1)]);
    assert_eq!(
        directory.members_in_contact(10 + FRESHNESS_MS),
        [],
        "its heartbeat has expired"
    );
    receive_heartbeat(&mut directory, 700, 1, true, &[]);
    receive_heartbeat(&mut directory, 710, 1, false, &[]);
    assert_eq!(directory.members_in_contact(710), [], "it lost contact");
    receive_heartbeat(&mut directory, 720, 2, true, &[]);
    directory.on_link_ended(address(2));
    assert_eq!(directory.members_in_contact(720), [], "its link has ended");
}

#[test]
fn members_are_learned_and_dead_ones_removed_after_all_seeds_are_replaced() {
    let mut directory = directory(&[1, 2]);
    receive_heartbeat(&mut directory, 0, 1, true, &[1, 2, 3]);
    receive_heartbeat(&mut directory, 100, 3, true, &[1, 3, 4]);
    directory.set_seeds(200, vec![address(3)]);
    let mut removed = Vec::new();
    for now in (200..20_000).step_by(100) {
        // Members 1 and 2 are permanently gone; member 3 and the new member 4 respond.
        receive_heartbeat(&mut directory, now, 3, true, &[3, 4]);
        receive_heartbeat(&mut directory, now, 4, true, &[3, 4]);
        removed.extend(directory.remove_gone(now));
    }
    assert_eq!(removed, [address(2), address(1)]);
    assert_eq!(
        directory.members_in_contact(20_000),
        [address(3), address(4)]
    );
    receive_heartbeat(&mut directory, 20_000, 1, true, &[]);
    assert!(
        !directory.members_in_contact(20_000).contains(&address(1)),
        "it was removed"
    );
}

#[test]
fn a_silent_seed_is_polled_forever() {
    let mut directory = directory(&[1]);
    let mut polls = 0;
    for now in (0..60_000).step_by(50) {
        polls += directory.take_due_polls(now).len();
        assert_eq!(directory.remove_gone(now), []);
    }
    assert!((55..=70).contains(&polls), "{polls} polls in a minute");
}

#[test]
fn the_number_of_members_is_bounded() {
    let mut directory = directory(&[1]);
    let many: Vec<u8> = (1..=200).collect();
    for now in 0..100 {
        receive_heartbeat(&mut directory, now, 1, true, &many);
    }
    for member in &many {
        receive_heartbeat(&mut directory, 100, *member, true, &[]);
    }
    assert_eq!(directory.members_in_contact(100).len(), 16);
}
