//! State of the local voter, as reported by the disk thread.

use crate::keys::REPLICATED_KEYS;
use crate::role_register::RoleHolder;
use crate::value::{Value, ValueId};
use register::{Ballot, VoterSet};
use std::sync::Arc;
use voter::Voter;

/// State of a voter and its replicated registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoterSnapshot {
    /// The voter's set; epoch 0 if the voter is empty.
    pub set: VoterSet,
    /// Whether the disk is usable. False after a disk failure.
    pub is_open: bool,
    /// Replicated registers: either all of them or those that have changed.
    pub values: Vec<RegisterSnapshot>,
}

impl VoterSnapshot {
    /// Full snapshot of a newly opened voter.
    pub fn of(voter: &Voter) -> Self {
        let keys = REPLICATED_KEYS.iter().map(|key| (*key, true));
        Self::of_keys(voter, keys)
    }

    /// Snapshot of some registers, each with or without its value bytes.
    pub(crate) fn of_keys<'a>(voter: &Voter, keys: impl Iterator<Item = (&'a str, bool)>) -> Self {
        let acceptor = voter.acceptor();
        let values = keys.map(|(key, has_bytes)| {
            let state = acceptor.register(key).cloned().unwrap_or_default();
            RegisterSnapshot {
                key: key.to_string(),
                promised: state.promised,
                accepted: state.accepted,
                version: state.value.version,
                tag: state.value.tag,
                bytes: has_bytes.then(|| Arc::new(state.value.bytes)),
            }
        });
        Self {
            set: acceptor.set().clone(),
            is_open: voter.is_open(),
            values: values.collect(),
        }
    }
}

/// State of one register of a voter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisterSnapshot {
    /// Key of the register.
    pub key: String,
    /// Highest promised ballot.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// Version of the accepted value.
    pub version: u64,
    /// Tag of the accepted value.
    pub tag: u64,
    /// Bytes of the accepted value; `None` if unchanged.
    pub bytes: Option<Arc<Vec<u8>>>,
}

impl RegisterSnapshot {
    /// Version and tag of the accepted value.
    pub(crate) fn id(&self) -> ValueId {
        ValueId::new(self.version, self.tag)
    }

    /// The accepted value, if its bytes are known.
    pub(crate) fn value(&self) -> Option<Value> {
        let bytes = self.bytes.clone()?;
        Some(Value {
            version: self.version,
            tag: self.tag,
            bytes,
        })
    }

    /// The role holder stored in the scaler role's register.
    pub(crate) fn role_holder(&self) -> RoleHolder {
        let bytes = self.bytes.as_ref().map_or(&[][..], |bytes| bytes);
        RoleHolder::decode(bytes)
    }
}
