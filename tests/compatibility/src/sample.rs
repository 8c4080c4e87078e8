//! Sample values, named so that their captured bytes can be looked up.

use speedy::{LittleEndian, Writable};

/// A value whose encoded form must not change.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample<T> {
    /// Name of the value in its fixture file.
    pub name: &'static str,
    /// The value to encode.
    pub value: T,
}

impl<T: Writable<LittleEndian>> Sample<T> {
    /// The encoded value without a frame.
    pub fn encoded(&self) -> Vec<u8> {
        self.value
            .write_to_vec()
            .expect("writing to memory does not fail")
    }

    /// The encoded value in a `protocol` frame.
    pub fn framed(&self) -> Vec<u8> {
        protocol::frame(&self.value)
    }
}

/// Creates a named sample.
pub fn sample<T>(name: &'static str, value: T) -> Sample<T> {
    Sample { name, value }
}
