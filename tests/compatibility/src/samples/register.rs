//! Requests to voters, their responses, and the records of their journals.

use crate::sample::{sample, Sample};
use register::{
    Ballot, Record, RegisterState, SetVersion, VersionedValue, VoterOperation, VoterRef,
    VoterRequest, VoterResponse, VoterSet,
};

/// A set of three voters.
pub fn voter_set() -> VoterSet {
    VoterSet {
        epoch: 2,
        number: 5,
        voters: vec![
            voter(0x0102_0304_0506_0708, "10.0.0.1:7000"),
            voter(0x1112_1314_1516_1718, "10.0.0.2:7000"),
            voter(u64::MAX, "[fd00::3]:7000"),
        ],
    }
}

/// A reference to a voter by disk identity and address.
pub fn voter(disk: u64, address: &str) -> VoterRef {
    VoterRef {
        disk,
        address: address.into(),
    }
}

/// A ballot whose counter and proposer both exceed 32 bits.
pub fn ballot() -> Ballot {
    Ballot {
        counter: 0x0000_0021_0000_0007,
        proposer: 0xa1a2_a3a4_a5a6_a7a8,
    }
}

/// A value with bytes that are not valid UTF-8.
pub fn versioned_value() -> VersionedValue {
    VersionedValue {
        version: 9,
        tag: 0xfeed_beef_0000_0001,
        bytes: b"the value \x00\xff".to_vec(),
    }
}

/// A register whose promised ballot is newer than its accepted one.
pub fn register_state() -> RegisterState {
    RegisterState {
        promised: Ballot {
            counter: 0x0000_0021_0000_0009,
            proposer: 4,
        },
        accepted: ballot(),
        value: versioned_value(),
    }
}

/// One request of each operation, with the version of [`voter_set`].
pub fn requests() -> Vec<Sample<VoterRequest>> {
    let request = |voter_operation| VoterRequest {
        set_version: SetVersion::new(2, 5),
        operation: voter_operation,
    };
    let key = "description".to_string();
    let query = VoterOperation::Query { key: key.clone() };
    let prepare = VoterOperation::Prepare {
        key: key.clone(),
        ballot: ballot(),
    };
    let accept = VoterOperation::Accept {
        key,
        ballot: ballot(),
        value: versioned_value(),
    };
    vec![
        sample("peek", request(query)),
        sample("promise", request(prepare)),
        sample("accept", request(accept)),
    ]
}

/// One response of each kind.
pub fn responses() -> Vec<Sample<VoterResponse>> {
    let last_accepted = VoterResponse::LastAccepted {
        ballot: ballot(),
        value: versioned_value(),
    };
    let rejected = VoterResponse::Rejected { promised: ballot() };
    let set_mismatch = VoterResponse::SetMismatch { set: voter_set() };
    let unavailable = VoterResponse::Unavailable {
        reason: "the disk failed".into(),
    };
    vec![
        sample("holds", last_accepted),
        sample("accepted", VoterResponse::Accepted),
        sample("refused", rejected),
        sample("other_set", set_mismatch),
        sample("aged_out", VoterResponse::Expired),
        sample("closed", unavailable),
    ]
}

/// One record of each kind in a voter's journal.
pub fn records() -> Vec<Sample<Record>> {
    vec![
        sample("key", Record::Register("duty".into(), register_state())),
        sample("set", Record::VoterSet(voter_set())),
        sample("water", Record::ExpiredBefore(1_700_000_000_000)),
        sample("shut", Record::RefusedBefore(1_700_000_000_001)),
    ]
}
