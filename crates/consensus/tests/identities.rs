//! Messages still in transit from a controller's former disk identity or incarnation are ignored.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{Consensus, ConsensusAction, ConsensusMessage, Heartbeat, CONFIGURATION_KEY};
use register::{Ballot, SetVersion, VersionedValue, VoterOperation, VoterResponse};

fn sent(consensus: &mut Consensus) -> Vec<ConsensusMessage> {
    let actions = consensus.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        ConsensusAction::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

fn is_accept(message: &ConsensusMessage) -> bool {
    let ConsensusMessage::VoterRequest { request, .. } = message else {
        return false;
    };
    matches!(request.operation, VoterOperation::Accept { .. })
}

#[test]
fn an_answer_counts_for_the_disk_that_gave_it_and_for_no_other_at_its_address() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local = cluster.nodes[0].clock(cluster.now);
    let disks: Vec<u64> = cluster.nodes.iter().map(|node| node.disk).collect();
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let _ = consensus.take_actions();
    consensus.write(local, 9_999, CONFIGURATION_KEY, 0, vec![1]);
    let requests = sent(consensus);
    let number = requests.iter().find_map(|message| match message {
        ConsensusMessage::VoterRequest { number, .. } => Some(*number),
        _ => None,
    });
    let number = number.expect("nothing was request");
    let answer = |disk| ConsensusMessage::VoterResponse {
        disk,
        number,
        is_value_omitted: false,
        response: VoterResponse::LastAccepted {
            ballot: Ballot::default(),
            value: VersionedValue::default(),
        },
    };
    // One member responds from both addresses, as if its disk had been moved. An unknown disk responds too.
    consensus.on_message(local, "at-1", answer(disks[1] ^ 1));
    consensus.on_message(local, "at-2", answer(disks[2] ^ 1));
    consensus.on_message(local, "at-1", answer(disks[1]));
    consensus.on_message(local, "at-2", answer(disks[1]));
    assert!(
        !sent(consensus).iter().any(is_accept),
        "one disk made a majority"
    );
    consensus.on_message(local, "at-2", answer(disks[2]));
    assert!(
        sent(consensus).iter().any(is_accept),
        "two disks made no majority"
    );
}

#[test]
fn a_late_heartbeat_of_a_former_incarnation_is_not_taken_for_the_present_one() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |incarnation, number, known| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation,
            number,
            known_set: known,
            ..Heartbeat::default()
        })
    };
    consensus.on_message(local, "at-9", heartbeat(5, 100, SetVersion::new(1, 1)));
    consensus.on_message(local, "at-9", heartbeat(6, 1, SetVersion::new(1, 1)));
    let _ = consensus.take_actions();
    consensus.on_message(local, "at-9", heartbeat(5, 101, SetVersion::new(1, 2)));
    let wants_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(!sent(consensus).iter().any(wants_set));
    consensus.on_message(local, "at-9", heartbeat(6, 2, SetVersion::new(1, 2)));
    assert!(sent(consensus).iter().any(wants_set));
}

/// Silence in milliseconds after which a controller no longer counts as live.
const SILENT_AFTER_MS: u64 = 1_000;

#[test]
fn an_incarnation_that_lives_is_heard_again_after_a_late_heartbeat_of_another() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |incarnation, number, known| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation,
            number,
            known_set: known,
            ..Heartbeat::default()
        })
    };
    let (older, newer) = (SetVersion::new(1, 1), SetVersion::new(1, 2));
    consensus.on_message(local, "at-9", heartbeat(6, 1, older));
    // A heartbeat of the former incarnation, delayed by a partition, arrives first after the current one was heard.
    consensus.on_message(local, "at-9", heartbeat(5, 100, older));
    let _ = consensus.take_actions();
    let later = local + SILENT_AFTER_MS;
    consensus.on_message(later, "at-9", heartbeat(6, 2, newer));
    let wants_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(sent(consensus).iter().any(wants_set), "it is not heard");
    // Further heartbeats of the former incarnation are late.
    consensus.on_message(later, "at-9", heartbeat(5, 101, SetVersion::new(1, 3)));
    assert!(
        !sent(consensus).iter().any(wants_set),
        "the late one is heard"
    );
}

#[test]
fn a_heartbeat_that_was_overtaken_is_dropped() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |number, known| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation: 6,
            number,
            known_set: known,
            ..Heartbeat::default()
        })
    };
    consensus.on_message(local, "at-9", heartbeat(3, SetVersion::new(1, 1)));
    let _ = consensus.take_actions();
    consensus.on_message(local, "at-9", heartbeat(2, SetVersion::new(1, 2)));
    let wants_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(!sent(consensus).iter().any(wants_set));
    consensus.on_message(local, "at-9", heartbeat(4, SetVersion::new(1, 2)));
    assert!(sent(consensus).iter().any(wants_set));
}
