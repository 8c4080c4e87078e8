//! What a member promises to a holder of the scaler role, tested with a single consensus and no network.

use consensus::{
    Consensus, ConsensusAction, ConsensusMessage, ConsensusOptions, DiskWork, Heartbeat,
    RegisterSnapshot, RoleHolder, ValueId, VoterSnapshot, SCALER_ROLE_KEY,
};
use register::{
    Ballot, SetVersion, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse,
    VoterSet,
};
use speedy::Writable;
use std::sync::Arc;

const LEASE_MS: u64 = 1_000;
const STARTED_AT: u64 = 50_000;
const MEMBER: &str = "member";
const HOLDER: &str = "holder";
const OTHER: &str = "other";
const HOLDER_INCARNATION: u64 = 7;
/// Epoch 1, register version 1.
const TERM: u64 = (1 << 40) | 1;

fn set() -> VoterSet {
    let addresses = [MEMBER, HOLDER, OTHER].into_iter().zip(1..);
    let voters = addresses.map(|(address, disk)| VoterRef {
        disk,
        address: address.into(),
    });
    VoterSet {
        epoch: 1,
        number: 1,
        voters: voters.collect(),
    }
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 1,
    }
}

/// A member that was started after its voter had accepted the holder's value under the first ballot.
fn started_member(promised: Ballot) -> Consensus {
    let role_holder = RoleHolder {
        address: HOLDER.into(),
        name: HOLDER.into(),
        incarnation: HOLDER_INCARNATION,
    };
    let bytes = role_holder
        .write_to_vec()
        .expect("the holder can be encoded");
    let snapshot = VoterSnapshot {
        set: set(),
        is_open: true,
        values: vec![RegisterSnapshot {
            key: SCALER_ROLE_KEY.into(),
            promised,
            accepted: ballot(1),
            version: 1,
            tag: 1,
            bytes: Some(Arc::new(bytes)),
        }],
    };
    let options = ConsensusOptions {
        name: MEMBER.into(),
        address: MEMBER.into(),
        seeds: vec![MEMBER.into(), HOLDER.into(), OTHER.into()],
        is_first_start: false,
        disk_id: 1,
        lease_ms: LEASE_MS,
        heartbeat_interval_ms: 200,
        replacement_timeout_ms: 2_000,
        seed: 1,
        target_voter_count: 3,
    };
    Consensus::new(options, STARTED_AT, snapshot)
}

/// A heartbeat of the holder that claims the scaler role.
fn holders_claim() -> ConsensusMessage {
    ConsensusMessage::Heartbeat(Heartbeat {
        disk: 2,
        incarnation: HOLDER_INCARNATION,
        number: 1,
        own_set: SetVersion::new(1, 1),
        known_set: SetVersion::new(1, 1),
        role_term: TERM,
        ..Heartbeat::default()
    })
}

/// Whether the member acknowledges the holder's claim.
fn backs_claim(consensus: &mut Consensus) -> bool {
    consensus.on_message(STARTED_AT, HOLDER, holders_claim());
    let mut actions = consensus.take_actions().into_iter();
    actions.any(|action| {
        matches!(action, ConsensusAction::Send { to, message: ConsensusMessage::RoleLeaseAck(ack) }
            if to == HOLDER && ack.term == TERM)
    })
}

/// Whether the member passes another controller's prepare request at this time to its voter. Otherwise it must reject
/// the request.
fn passes_prepare_on(consensus: &mut Consensus, now: u64) -> bool {
    let prepare = VoterOperation::Prepare {
        key: SCALER_ROLE_KEY.into(),
        ballot: ballot(9),
    };
    let message = ConsensusMessage::VoterRequest {
        number: 1,
        known: ValueId::default(),
        request: VoterRequest {
            set_version: SetVersion::new(1, 1),
            operation: prepare,
        },
    };
    consensus.on_message(now, OTHER, message);
    let actions = consensus.take_actions();
    let is_rejected = actions.iter().any(|action| {
        matches!(action, ConsensusAction::Send { to, message: ConsensusMessage::VoterResponse { response, .. } }
            if to == OTHER && matches!(response, VoterResponse::Unavailable { .. }))
    });
    let is_passed_on = actions.iter().any(
        |action| matches!(action, ConsensusAction::Disk(DiskWork::VoterRequest { to, .. }) if to == OTHER),
    );
    assert_ne!(is_rejected, is_passed_on);
    is_passed_on
}

#[test]
fn a_member_backs_a_claim_only_while_its_voter_has_made_no_newer_promise() {
    assert!(backs_claim(&mut started_member(ballot(1))));
    assert!(!backs_claim(&mut started_member(ballot(2))));
}

#[test]
fn a_restarted_member_withholds_promises_for_one_lease() {
    let promises =
        |after: u64| passes_prepare_on(&mut started_member(ballot(1)), STARTED_AT + after);
    assert!(!promises(0));
    assert!(!promises(LEASE_MS - 1));
    assert!(promises(LEASE_MS));
}

#[test]
fn a_member_that_receives_a_claim_withholds_promises_to_others_for_one_lease() {
    let mut consensus = started_member(ballot(1));
    let late = STARTED_AT + 400;
    consensus.on_message(late, HOLDER, holders_claim());
    let _ = consensus.take_actions();
    assert!(!passes_prepare_on(&mut consensus, late + LEASE_MS - 1));
    assert!(passes_prepare_on(&mut consensus, late + LEASE_MS));
}

#[test]
fn a_claim_older_than_the_committed_holder_does_not_withhold_promises() {
    let mut consensus = started_member(ballot(1));
    let successor = ConsensusMessage::Value {
        key: SCALER_ROLE_KEY.into(),
        ballot: Ballot::default(),
        value: VersionedValue {
            version: 2,
            tag: 2,
            bytes: Vec::new(),
        },
    };
    let later = STARTED_AT + LEASE_MS;
    consensus.on_message(later, OTHER, successor);
    consensus.on_message(later, HOLDER, holders_claim());
    let _ = consensus.take_actions();
    assert!(passes_prepare_on(&mut consensus, later + 1));
}
