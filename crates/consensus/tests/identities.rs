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
fn a_response_counts_for_the_disk_that_sent_it_and_not_for_its_address() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local_now = cluster.nodes[0].clock(cluster.now);
    let disks: Vec<u64> = cluster.nodes.iter().map(|node| node.disk).collect();
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let _ = consensus.take_actions();
    consensus.write(local_now, 9_999, CONFIGURATION_KEY, 0, vec![1]);
    let requests = sent(consensus);
    let number = requests.iter().find_map(|message| match message {
        ConsensusMessage::VoterRequest { number, .. } => Some(*number),
        _ => None,
    });
    let number = number.expect("no request was sent");
    let response_from = |disk| ConsensusMessage::VoterResponse {
        disk,
        number,
        is_value_omitted: false,
        response: VoterResponse::LastAccepted {
            ballot: Ballot::default(),
            value: VersionedValue::default(),
        },
    };
    // One member responds from both addresses, as if its disk had been moved. An unknown disk responds too.
    consensus.on_message(local_now, "at-1", response_from(disks[1] ^ 1));
    consensus.on_message(local_now, "at-2", response_from(disks[2] ^ 1));
    consensus.on_message(local_now, "at-1", response_from(disks[1]));
    consensus.on_message(local_now, "at-2", response_from(disks[1]));
    assert!(
        !sent(consensus).iter().any(is_accept),
        "one disk counted as a majority"
    );
    consensus.on_message(local_now, "at-2", response_from(disks[2]));
    assert!(
        sent(consensus).iter().any(is_accept),
        "two disks did not count as a majority"
    );
}

#[test]
fn a_late_heartbeat_of_a_former_incarnation_is_ignored() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local_now = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |incarnation, number, version| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation,
            number,
            known_set: version,
            ..Heartbeat::default()
        })
    };
    consensus.on_message(local_now, "at-9", heartbeat(5, 100, SetVersion::new(1, 1)));
    consensus.on_message(local_now, "at-9", heartbeat(6, 1, SetVersion::new(1, 1)));
    let _ = consensus.take_actions();
    consensus.on_message(local_now, "at-9", heartbeat(5, 101, SetVersion::new(1, 2)));
    let requests_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(!sent(consensus).iter().any(requests_set));
    consensus.on_message(local_now, "at-9", heartbeat(6, 2, SetVersion::new(1, 2)));
    assert!(sent(consensus).iter().any(requests_set));
}

/// Silence in milliseconds after which a controller no longer counts as live.
const SILENT_AFTER_MS: u64 = 1_000;

#[test]
fn a_live_incarnation_is_restored_after_a_late_heartbeat_of_another() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local_now = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |incarnation, number, version| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation,
            number,
            known_set: version,
            ..Heartbeat::default()
        })
    };
    let (older, newer) = (SetVersion::new(1, 1), SetVersion::new(1, 2));
    consensus.on_message(local_now, "at-9", heartbeat(6, 1, older));
    // A heartbeat of the former incarnation, delayed by a partition, arrives first after the current one was heard.
    consensus.on_message(local_now, "at-9", heartbeat(5, 100, older));
    let _ = consensus.take_actions();
    let later = local_now + SILENT_AFTER_MS;
    consensus.on_message(later, "at-9", heartbeat(6, 2, newer));
    let requests_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(
        sent(consensus).iter().any(requests_set),
        "the live incarnation is ignored"
    );
    // Further heartbeats of the former incarnation are late.
    consensus.on_message(later, "at-9", heartbeat(5, 101, SetVersion::new(1, 3)));
    assert!(
        !sent(consensus).iter().any(requests_set),
        "the late heartbeat was accepted"
    );
}

#[test]
fn an_out_of_order_heartbeat_is_dropped() {
    let mut cluster = SimulatedCluster::idle(1, 3);
    let local_now = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    let heartbeat = |number, version| {
        ConsensusMessage::Heartbeat(Heartbeat {
            disk: 77,
            incarnation: 6,
            number,
            known_set: version,
            ..Heartbeat::default()
        })
    };
    consensus.on_message(local_now, "at-9", heartbeat(3, SetVersion::new(1, 1)));
    let _ = consensus.take_actions();
    consensus.on_message(local_now, "at-9", heartbeat(2, SetVersion::new(1, 2)));
    let requests_set = |message: &ConsensusMessage| *message == ConsensusMessage::RequestVoterSet;
    assert!(!sent(consensus).iter().any(requests_set));
    consensus.on_message(local_now, "at-9", heartbeat(4, SetVersion::new(1, 2)));
    assert!(sent(consensus).iter().any(requests_set));
}
