//! A controller only reports a voter set that its disk has durably installed.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{
    execute_batch_on_disk, ConsensusAction, ConsensusMessage, DiskCompletion, DiskWork, Heartbeat,
    MembershipState, VoterSetUpdate,
};
use journal::{FaultKind, Folder, MemoryFolder};
use register::{SetVersion, VoterRef, VoterSet};
use std::io;
use voter::VoterDisk;

const FIRST: SetVersion = SetVersion::new(1, 1);
const SECOND: SetVersion = SetVersion::new(1, 2);

fn set(set_number: u64) -> VoterSet {
    let voter = |disk: u64| VoterRef {
        disk,
        address: format!("at-{disk}"),
    };
    VoterSet {
        epoch: 1,
        number: set_number,
        voters: (1..=3).map(voter).collect(),
    }
}

fn open_disk(folder: &MemoryFolder) -> VoterDisk {
    let folder = folder.clone();
    let open_folder = move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(folder.clone())) };
    VoterDisk::open(Box::new(open_folder), 1).unwrap()
}

fn confirm(set_version: SetVersion) -> DiskWork {
    let to = "at-3".to_string();
    DiskWork::ConfirmInstalled { to, set_version }
}

/// Whether a batch of work that ends with a confirmation request produces a confirmation.
fn is_confirmed(disk: &mut VoterDisk, batch: Vec<DiskWork>) -> bool {
    let completions = execute_batch_on_disk(disk, batch);
    completions
        .iter()
        .any(|completion| matches!(completion, DiskCompletion::InstallationConfirmed { .. }))
}

#[test]
fn a_set_is_confirmed_only_after_it_is_synced() {
    let folder = MemoryFolder::default();
    let mut disk = open_disk(&folder);
    assert!(!is_confirmed(&mut disk, vec![confirm(FIRST)]));
    let form = DiskWork::FormSet(set(1));
    assert!(is_confirmed(&mut disk, vec![form, confirm(FIRST)]));
    assert!(!is_confirmed(&mut disk, vec![confirm(SECOND)]));
    let of_next_epoch = confirm(SetVersion::new(2, 1));
    assert!(!is_confirmed(&mut disk, vec![of_next_epoch]));
    folder.inject(FaultKind::Full);
    let adopt = DiskWork::AdoptSet(set(2));
    assert!(!is_confirmed(&mut disk, vec![adopt, confirm(SECOND)]));
    folder.inject(FaultKind::SpaceFreed);
    disk.reopen().unwrap();
    assert!(!is_confirmed(&mut disk, vec![confirm(SECOND)]));
    let adopt = DiskWork::AdoptSet(set(2));
    execute_batch_on_disk(&mut disk, vec![adopt]);
    assert!(is_confirmed(&mut disk, vec![confirm(FIRST)]));
    assert!(is_confirmed(&mut disk, vec![confirm(SECOND)]));
}

#[test]
fn a_heartbeat_does_not_report_a_set_that_a_failed_disk_has_only_in_memory() {
    let mut cluster = SimulatedCluster::first_start(4, 3, 3);
    cluster.is_writing = false;
    cluster.run(1_500);
    cluster.isolate(0);
    cluster.nodes[0].folder.inject(FaultKind::Full);
    let new_member = VoterRef {
        disk: 77,
        address: "at-9".into(),
    };
    let next = cluster
        .newest_set()
        .with_replacement(cluster.nodes[2].disk, new_member)
        .unwrap();
    let update = VoterSetUpdate {
        set: next,
        previous: None,
    };
    let local_now = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    consensus.on_message(local_now, "at-1", ConsensusMessage::VoterSet(update));
    cluster.process_actions(0);
    cluster.run(500);
    let local_now = cluster.nodes[0].clock(cluster.now) + 500;
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    assert_eq!(consensus.voter_set().version(), SECOND);
    consensus.tick(local_now);
    let heartbeats: Vec<Heartbeat> = consensus
        .take_actions()
        .into_iter()
        .filter_map(heartbeat)
        .collect();
    assert!(!heartbeats.is_empty());
    assert!(
        heartbeats
            .iter()
            .all(|heartbeat| heartbeat.own_set == FIRST),
        "{heartbeats:?}"
    );
    assert_eq!(consensus.membership_state(), MembershipState::Voting);
}

fn heartbeat(action: ConsensusAction) -> Option<Heartbeat> {
    match action {
        ConsensusAction::Send {
            message: ConsensusMessage::Heartbeat(heartbeat),
            ..
        } => Some(heartbeat),
        _ => None,
    }
}

#[test]
fn a_replica_is_only_read_under_the_requested_set() {
    let folder = MemoryFolder::default();
    let mut disk = open_disk(&folder);
    let read_replica = |set_version| DiskWork::ReadReplica {
        to: "at-3".into(),
        set_version,
        after: String::new(),
    };
    let has_page = |completions: &[DiskCompletion]| {
        let is_page =
            |completion: &DiskCompletion| matches!(completion, DiskCompletion::ReplicaPage { .. });
        completions.iter().any(is_page)
    };
    assert!(!has_page(&execute_batch_on_disk(
        &mut disk,
        vec![read_replica(SetVersion::new(0, 0))]
    )));
    execute_batch_on_disk(&mut disk, vec![DiskWork::FormSet(set(1))]);
    assert!(!has_page(&execute_batch_on_disk(
        &mut disk,
        vec![read_replica(SECOND)]
    )));
    assert!(has_page(&execute_batch_on_disk(
        &mut disk,
        vec![read_replica(FIRST)]
    )));
}
