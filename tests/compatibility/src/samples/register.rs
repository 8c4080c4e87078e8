//! Questions to voters and their answers.

use crate::sample::{sample, Sample};
use register::{
    Ballot, Held, Record, Stored, VoterAsk, VoterMessage, VoterRef, VoterReply, VoterSet,
};

/// A set of three voters.
pub fn voter_set() -> VoterSet {
    VoterSet {
        era: 2,
        no: 5,
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
pub fn versioned_value() -> Stored {
    Stored {
        version: 9,
        tag: 0xfeed_beef_0000_0001,
        bytes: b"the value \x00\xff".to_vec(),
    }
}

/// What a voter holds for a key.
pub fn register_state() -> Held {
    Held {
        promised: Ballot {
            counter: 0x0000_0021_0000_0009,
            proposer: 4,
        },
        accepted: ballot(),
        stored: versioned_value(),
    }
}

/// Each question, under the version of [`voter_set`].
pub fn questions() -> Vec<Sample<VoterMessage>> {
    let question = |ask| VoterMessage { mark: (2, 5), ask };
    let key = "description".to_string();
    let peek = VoterAsk::Peek { key: key.clone() };
    let promise = VoterAsk::Promise {
        key: key.clone(),
        ballot: ballot(),
    };
    let accept = VoterAsk::Accept {
        key,
        ballot: ballot(),
        stored: versioned_value(),
    };
    vec![
        sample("peek", question(peek)),
        sample("promise", question(promise)),
        sample("accept", question(accept)),
    ]
}

/// Each answer.
pub fn answers() -> Vec<Sample<VoterReply>> {
    let holds = VoterReply::Holds {
        ballot: ballot(),
        stored: versioned_value(),
    };
    let refused = VoterReply::Refused { promised: ballot() };
    let other_set = VoterReply::OtherSet { set: voter_set() };
    let closed = VoterReply::Closed {
        reason: "the disk failed".into(),
    };
    vec![
        sample("holds", holds),
        sample("accepted", VoterReply::Accepted),
        sample("refused", refused),
        sample("other_set", other_set),
        sample("aged_out", VoterReply::AgedOut),
        sample("closed", closed),
    ]
}

/// Each record of a voter's journal.
pub fn records() -> Vec<Sample<Record>> {
    vec![
        sample("key", Record::Key("duty".into(), register_state())),
        sample("set", Record::Set(voter_set())),
        sample("water", Record::Water(1_700_000_000_000)),
        sample("shut", Record::Shut(1_700_000_000_001)),
    ]
}
