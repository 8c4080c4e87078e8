//! Anti-entropy: how two replicas of a table of keys find where they differ, without sending each other everything.
//!
//! Keys are split into ranges by their hash, and [`RangeDigests`] holds one digest for each range, which follows each change of
//! a key. Replicas exchange the digests and then the entries of the ranges that differ. Which of two entries is right is decided
//! by the caller.
//!
//! What must never happen: the ranges, the hash or the digest of an entry change while replicas of two versions run side by
//! side, since they would find every range different and repair without end.
#![warn(missing_docs)]

mod digests;

pub use digests::{range_of, EntryVersion, RangeDigests, RANGE_COUNT};
