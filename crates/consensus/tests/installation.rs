//! Which copies an empty member may install, tested with a single consensus and no network.

use consensus::{
    Consensus, ConsensusAction, ConsensusMessage, ConsensusOptions, DiskWork, ReplicaPage,
    VoterSetUpdate, VoterSnapshot,
};
use register::{ClaimFloors, SetVersion, VoterRef, VoterSet};

const STARTED_AT: u64 = 50_000;
const NEW_MEMBER: &str = "new_member";
const NEW_MEMBER_DISK: u64 = 9;
const MEMBERS: [&str; 2] = ["one", "other"];

/// The set in which the new member has replaced a third member.
fn set() -> VoterSet {
    let addresses = MEMBERS.into_iter().zip(1..);
    let new_member = (NEW_MEMBER, NEW_MEMBER_DISK);
    let voters = addresses
        .chain([new_member])
        .map(|(address, disk)| VoterRef {
            disk,
            address: address.into(),
        });
    VoterSet {
        epoch: 1,
        number: 2,
        voters: voters.collect(),
    }
}

/// An empty controller that has learned that it is in the set.
fn new_member() -> Consensus {
    let options = ConsensusOptions {
        name: NEW_MEMBER.into(),
        address: NEW_MEMBER.into(),
        seeds: MEMBERS.map(str::to_string).to_vec(),
        is_first_start: false,
        disk_id: NEW_MEMBER_DISK,
        lease_ms: 1_000,
        heartbeat_interval_ms: 200,
        replacement_timeout_ms: 2_000,
        seed: 1,
        target_voter_count: 3,
    };
    let empty = VoterSnapshot {
        is_open: true,
        ..VoterSnapshot::default()
    };
    let mut consensus = Consensus::new(options, STARTED_AT, empty);
    let update = VoterSetUpdate {
        set: set(),
        previous: None,
    };
    consensus.on_message(STARTED_AT, MEMBERS[0], ConsensusMessage::VoterSet(update));
    let _ = consensus.take_actions();
    consensus
}

/// Whether the new member installs after receiving a complete copy from each member, made under the given set.
fn installs_copies_under(set_version: SetVersion) -> bool {
    let mut consensus = new_member();
    for (address, disk) in MEMBERS.into_iter().zip(1..) {
        let page = ReplicaPage {
            disk,
            set_version,
            claim_floors: ClaimFloors::default(),
            after: String::new(),
            registers: Vec::new(),
            is_last: true,
        };
        consensus.on_message(STARTED_AT, address, ConsensusMessage::Replica(page));
    }
    let mut actions = consensus.take_actions().into_iter();
    actions.any(|action| matches!(action, ConsensusAction::Disk(DiskWork::Install(_))))
}

#[test]
fn a_new_member_only_installs_copies_made_under_its_own_set() {
    assert!(installs_copies_under(SetVersion::new(1, 2)));
    // A member that still votes under the previous set may commit more values after sending its copy.
    assert!(!installs_copies_under(SetVersion::new(1, 1)));
    assert!(!installs_copies_under(SetVersion::new(1, 3)));
}
