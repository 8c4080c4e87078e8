//! Anti-entropy: finds where two replicas of a key-value table differ, without exchanging the whole table.
//!
//! Keys are split into ranges by their hash, and [`RangeDigests`] holds one digest per range, which is updated with each change
//! of a key. Replicas exchange the digests, then the entries of the ranges that differ. The caller decides which of two entries
//! is right.
//!
//! The ranges, the hash and the digest of an entry must never change while replicas of two software versions run side by side:
//! they would find every range different and repair it endlessly.
#![warn(missing_docs)]

mod digests;

pub use digests::{range_of, EntryVersion, RangeDigests, RANGE_COUNT};
