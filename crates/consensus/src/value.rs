//! Register values as shared by controllers, and their ids.

use register::VersionedValue;
use speedy::{Readable, Writable};
use std::sync::Arc;

/// Identifies a register value without its bytes. Two writes of the same version have different tags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ValueId {
    /// Incremented with each change of the register; 0 if it was never written.
    pub version: u64,
    /// Random tag of the write.
    pub tag: u64,
}

impl ValueId {
    /// Creates an id from a version and a tag.
    pub const fn new(version: u64, tag: u64) -> Self {
        Self { version, tag }
    }

    /// The id of a voter's value.
    pub const fn of(value: &VersionedValue) -> Self {
        Self::new(value.version, value.tag)
    }
}

/// A register value in memory. Clones share the bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value {
    /// See [`ValueId::version`].
    pub version: u64,
    /// See [`ValueId::tag`].
    pub tag: u64,
    /// Bytes of the value.
    pub bytes: Arc<Vec<u8>>,
}

impl Value {
    /// Copies a value from a voter or proposer message.
    pub fn of(value: &VersionedValue) -> Self {
        Self {
            version: value.version,
            tag: value.tag,
            bytes: Arc::new(value.bytes.clone()),
        }
    }

    /// Id of the value.
    pub fn id(&self) -> ValueId {
        ValueId::new(self.version, self.tag)
    }

    /// Converts the value to the form that voters exchange.
    pub fn to_versioned(&self) -> VersionedValue {
        VersionedValue {
            version: self.version,
            tag: self.tag,
            bytes: self.bytes.to_vec(),
        }
    }
}
