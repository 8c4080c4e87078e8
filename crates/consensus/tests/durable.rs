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

fn set(no: u64) -> VoterSet {
    let voter = |disk: u64| VoterRef {
        disk,
        address: format!("at-{disk}"),
    };
    VoterSet {
        epoch: 1,
        number: no,
        voters: (1..=3).map(voter).collect(),
    }
}

fn opened(folder: &MemoryFolder) -> VoterDisk {
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
fn a_set_is_confirmed_once_it_is_synced_and_not_before() {
    let folder = MemoryFolder::default();
    let mut disk = opened(&folder);
    assert!(!is_confirmed(&mut disk, vec![confirm(FIRST)]));
    let form = DiskWork::FormSet(set(1));
    assert!(is_confirmed(&mut disk, vec![form, confirm(FIRST)]));
    assert!(!is_confirmed(&mut disk, vec![confirm(SECOND)]));
    let of_next_epoch = confirm(SetVersion::new(2, 1));
    assert!(!is_confirmed(&mut disk, vec![of_next_epoch]));
    folder.inject(FaultKind::Full);
    let adopt = DiskWork::AdoptSet(set(2));
    assert!(!is_confirmed(&mut disk, vec![adopt, confirm(SECOND)]));
    folder.inject(FaultKind::Room);
    disk.reopen().unwrap();
    assert!(!is_confirmed(&mut disk, vec![confirm(SECOND)]));
    let adopt = DiskWork::AdoptSet(set(2));
    execute_batch_on_disk(&mut disk, vec![adopt]);
    assert!(is_confirmed(&mut disk, vec![confirm(FIRST)]));
    assert!(is_confirmed(&mut disk, vec![confirm(SECOND)]));
}

#[test]
fn a_heartbeat_tells_no_set_that_a_failed_disk_took_in_memory_alone() {
    let mut cluster = SimulatedCluster::first_start(4, 3, 3);
    cluster.is_writing = false;
    cluster.run(1_500);
    cluster.isolate(0);
    cluster.nodes[0].folder.inject(FaultKind::Full);
    let newcomer = VoterRef {
        disk: 77,
        address: "at-9".into(),
    };
    let next = cluster
        .newest_set()
        .with_replacement(cluster.nodes[2].disk, newcomer)
        .unwrap();
    let update = VoterSetUpdate {
        set: next,
        previous: None,
    };
    let local = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    consensus.on_message(local, "at-1", ConsensusMessage::VoterSet(update));
    cluster.drain(0);
    cluster.run(500);
    let local = cluster.nodes[0].clock(cluster.now) + 500;
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    assert_eq!(consensus.voter_set().version(), SECOND);
    consensus.tick(local);
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
fn a_copy_is_given_under_the_set_that_it_is_asked_for_and_under_no_other() {
    let folder = MemoryFolder::default();
    let mut disk = opened(&folder);
    let pull = |set_version| DiskWork::ReadReplica {
        to: "at-3".into(),
        set_version,
        after: String::new(),
    };
    let is_given = |completions: &[DiskCompletion]| {
        let is_copy =
            |completion: &DiskCompletion| matches!(completion, DiskCompletion::ReplicaPage { .. });
        completions.iter().any(is_copy)
    };
    assert!(!is_given(&execute_batch_on_disk(
        &mut disk,
        vec![pull(SetVersion::new(0, 0))]
    )));
    execute_batch_on_disk(&mut disk, vec![DiskWork::FormSet(set(1))]);
    assert!(!is_given(&execute_batch_on_disk(
        &mut disk,
        vec![pull(SECOND)]
    )));
    assert!(is_given(&execute_batch_on_disk(
        &mut disk,
        vec![pull(FIRST)]
    )));
}
