use crate::message::{Ballot, Stored, VoterAsk, VoterMessage, VoterReply, VoterSet};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Most keys that a voter keeps.
pub const KEYS_MAX: usize = 200_000;
const KEY_MAX: usize = 256;
const VALUE_MAX: usize = 4 << 20;

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Held {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// The accepted value.
    pub stored: Stored,
}

/// A change that must be synced before the answer that goes with it is given.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// A key's new content.
    Key(String, Held),
    /// The voter's set.
    Set(VoterSet),
    /// Claims issued before this time are forgotten and refused, for good.
    Water(u64),
}

/// A voter's state. It has no disk of its own: the caller syncs each [`Record`] first.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Acceptor {
    set: VoterSet,
    water: u64,
    keys: BTreeMap<String, Held>,
}

fn closed(reason: &str) -> VoterReply {
    VoterReply::Closed {
        reason: reason.into(),
    }
}

fn claim_time(key: &str) -> Option<u64> {
    key.strip_prefix("once/")?.split('/').next()?.parse().ok()
}

impl Acceptor {
    /// The set that this voter believes in; era 0 where it has none.
    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What is held for a key.
    pub fn held(&self, key: &str) -> Option<&Held> {
        self.keys.get(key)
    }

    /// Puts a record read back from the disk in place.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Key(key, held) => {
                self.keys.insert(key, held);
            }
            Record::Set(set) => self.set = set,
            Record::Water(water) => {
                self.water = water;
                self.keys
                    .retain(|key, _| claim_time(key).is_none_or(|time| time >= water));
            }
        }
    }

    /// Takes the first set of an era. A voter that has one keeps it.
    pub fn form(&mut self, set: VoterSet) -> Option<Record> {
        if self.set.era != 0 || set.era == 0 {
            return None;
        }
        self.set = set.clone();
        Some(Record::Set(set))
    }

    /// Forgets claims issued before a time, and refuses them ever after.
    pub fn age_out(&mut self, before: u64) -> Option<Record> {
        let is_oldest_older = self
            .keys
            .range("once/".to_string()..)
            .next()
            .and_then(|(key, _)| claim_time(key))
            .is_some_and(|time| time < before);
        if before <= self.water || !is_oldest_older {
            return None;
        }
        let record = Record::Water(before);
        self.replay(record.clone());
        Some(record)
    }

    /// Answers a question; where there is a record, it must be synced before the answer leaves.
    pub fn handle(&mut self, message: VoterMessage) -> (Option<Record>, VoterReply) {
        if message.mark != self.set.mark() || self.set.era == 0 {
            let set = self.set.clone();
            return (None, VoterReply::OtherSet { set });
        }
        let (key, ballot) = match &message.ask {
            VoterAsk::Peek { key } => (key, None),
            VoterAsk::Promise { key, ballot } | VoterAsk::Accept { key, ballot, .. } => {
                (key, Some(*ballot))
            }
        };
        if key.len() > KEY_MAX {
            return (None, closed("the key is too long"));
        }
        if claim_time(key).is_some_and(|time| time < self.water) {
            return (None, closed("the key has aged out"));
        }
        let mut held = self.keys.get(key).cloned().unwrap_or_default();
        if let Some(ballot) = ballot {
            if ballot < held.promised {
                let promised = held.promised;
                return (None, VoterReply::Refused { promised });
            }
            if !self.keys.contains_key(key) && self.keys.len() >= KEYS_MAX {
                return (None, closed("the table of keys is full"));
            }
            held.promised = ballot;
        }
        let reply = match &message.ask {
            VoterAsk::Accept { ballot, stored, .. } => {
                if stored.bytes.len() > VALUE_MAX {
                    return (None, closed("the value is too large"));
                }
                held.accepted = *ballot;
                held.stored = stored.clone();
                VoterReply::Accepted
            }
            _ => VoterReply::Holds {
                ballot: held.accepted,
                stored: held.stored.clone(),
            },
        };
        if ballot.is_none() {
            return (None, reply);
        }
        self.keys.insert(key.clone(), held.clone());
        (Some(Record::Key(key.clone(), held)), reply)
    }
}
