//! Values with a name by which their captured bytes are found.

use speedy::{LittleEndian, Writable};

/// One value of a type whose encoded form must stay.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample<T> {
    /// Name of the value in its fixture file.
    pub name: &'static str,
    /// The value itself.
    pub value: T,
}

impl<T: Writable<LittleEndian>> Sample<T> {
    /// The encoded value, without any frame around it.
    pub fn encoded(&self) -> Vec<u8> {
        self.value
            .write_to_vec()
            .expect("writing to memory does not fail")
    }

    /// The encoded value in the frame of `protocol`.
    pub fn framed(&self) -> Vec<u8> {
        protocol::frame(&self.value)
    }
}

/// Names a value.
pub fn sample<T>(name: &'static str, value: T) -> Sample<T> {
    Sample { name, value }
}
