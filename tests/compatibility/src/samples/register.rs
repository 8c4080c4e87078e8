//! Questions to voters and their answers.

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

/// A voter at an address.
pub fn voter(disk: u64, address: &str) -> VoterRef {
    VoterRef {
        disk,
        address: address.into(),
    }
}

/// A ballot with both of its numbers above 32 bits.
pub fn ballot() -> Ballot {
    Ballot {
        counter: 0x0000_0021_0000_0007,
        proposer: 0xa1a2_a3a4_a5a6_a7a8,
    }
}

/// A written value.
pub fn versioned_value() -> VersionedValue {
    VersionedValue {
        version: 9,
        tag: 0xfeed_beef_0000_0001,
        bytes: b"the value \x00\xff".to_vec(),
    }
}

/// What a voter holds for a key.
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

/// Each question, under the version of [`voter_set`].
pub fn questions() -> Vec<Sample<VoterRequest>> {
    let question = |ask| VoterRequest {
        set_version: SetVersion::new(2, 5),
        operation: ask,
    };
    let key = "description".to_string();
    let peek = VoterOperation::Query { key: key.clone() };
    let promise = VoterOperation::Prepare {
        key: key.clone(),
        ballot: ballot(),
    };
    let accept = VoterOperation::Accept {
        key,
        ballot: ballot(),
        value: versioned_value(),
    };
    vec![
        sample("peek", question(peek)),
        sample("promise", question(promise)),
        sample("accept", question(accept)),
    ]
}

/// Each answer.
pub fn answers() -> Vec<Sample<VoterResponse>> {
    let holds = VoterResponse::LastAccepted {
        ballot: ballot(),
        value: versioned_value(),
    };
    let refused = VoterResponse::Rejected { promised: ballot() };
    let other_set = VoterResponse::SetMismatch { set: voter_set() };
    let closed = VoterResponse::Unavailable {
        reason: "the disk failed".into(),
    };
    vec![
        sample("holds", holds),
        sample("accepted", VoterResponse::Accepted),
        sample("refused", refused),
        sample("other_set", other_set),
        sample("aged_out", VoterResponse::Expired),
        sample("closed", closed),
    ]
}

/// Each record of a voter's journal.
pub fn records() -> Vec<Sample<Record>> {
    vec![
        sample("key", Record::Register("duty".into(), register_state())),
        sample("set", Record::VoterSet(voter_set())),
        sample("water", Record::ExpiredBefore(1_700_000_000_000)),
        sample("shut", Record::RefusedBefore(1_700_000_000_001)),
    ]
}
