//! What a controller's own voter holds, as its disk's thread reports it.

use crate::keys::REPLICATED_KEYS;
use crate::role_register::RoleHolder;
use crate::value::{Value, ValueId};
use register::{Ballot, VoterSet};
use std::sync::Arc;
use voter::Voter;

/// What a voter holds of the replicated registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoterSnapshot {
    /// The voter's set; epoch 0 where it is empty.
    pub set: VoterSet,
    /// Whether the disk can be trusted.
    pub is_open: bool,
    /// Replicated registers: all of them, or those that have changed.
    pub values: Vec<RegisterSnapshot>,
}

impl VoterSnapshot {
    /// All that a voter holds, when it was just opened.
    pub fn of(voter: &Voter) -> Self {
        let keys = REPLICATED_KEYS.iter().map(|key| (*key, true));
        Self::of_keys(voter, keys)
    }

    /// What a voter holds for some keys, each with its bytes or without them.
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

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisterSnapshot {
    /// Key of the register.
    pub key: String,
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// Version of the accepted value.
    pub version: u64,
    /// Tag of the accepted value.
    pub tag: u64,
    /// The value itself; none where it is as it was.
    pub bytes: Option<Arc<Vec<u8>>>,
}

impl RegisterSnapshot {
    /// Version and tag of the accepted value.
    pub(crate) fn id(&self) -> ValueId {
        ValueId::new(self.version, self.tag)
    }

    /// The accepted value, where its bytes are known.
    pub(crate) fn value(&self) -> Option<Value> {
        let bytes = self.bytes.clone()?;
        Some(Value {
            version: self.version,
            tag: self.tag,
            bytes,
        })
    }

    /// The holder that the scaler role's register names.
    pub(crate) fn role_holder(&self) -> RoleHolder {
        let bytes = self.bytes.as_ref().map_or(&[][..], |bytes| bytes);
        RoleHolder::decode(bytes)
    }
}
