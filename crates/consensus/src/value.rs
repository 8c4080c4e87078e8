//! A register's value as controllers share it, and what identifies it.

use register::VersionedValue;
use speedy::{Readable, Writable};
use std::sync::Arc;

/// Identifies a value of a register without its bytes. Two writes of one version have different tags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ValueId {
    /// Counted up by one with each change of the register; 0 where it was never written.
    pub version: u64,
    /// Random tag of the write.
    pub tag: u64,
}

impl ValueId {
    /// The value with this version and tag.
    pub const fn new(version: u64, tag: u64) -> Self {
        Self { version, tag }
    }

    /// What identifies a value of a voter.
    pub const fn of(value: &VersionedValue) -> Self {
        Self::new(value.version, value.tag)
    }
}

/// A register's value in memory. Clones share the bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value {
    /// See [`ValueId::version`].
    pub version: u64,
    /// See [`ValueId::tag`].
    pub tag: u64,
    /// The value itself.
    pub bytes: Arc<Vec<u8>>,
}

impl Value {
    /// Copies a value out of a voter's or a proposer's message.
    pub fn of(value: &VersionedValue) -> Self {
        Self {
            version: value.version,
            tag: value.tag,
            bytes: Arc::new(value.bytes.clone()),
        }
    }

    /// What identifies it.
    pub fn id(&self) -> ValueId {
        ValueId::new(self.version, self.tag)
    }

    /// The value as voters exchange it.
    pub fn to_versioned(&self) -> VersionedValue {
        VersionedValue {
            version: self.version,
            tag: self.tag,
            bytes: self.bytes.to_vec(),
        }
    }
}
