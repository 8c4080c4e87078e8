//! RangeDigests over ranges of keys, kept up with each change, by which two copies find where they
//! differ without telling each other everything.
#![warn(missing_docs)]

mod digests;

pub use digests::{range_of, RangeDigests, RANGE_COUNT};
