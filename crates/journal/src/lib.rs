//! A write-ahead log of records in numbered segments, with snapshots that replace older segments.
//!
//! [`Journal`] writes and recovers records through the [`Folder`] trait: [`DiskFolder`] is a directory, and [`MemoryFolder`] a
//! simulated disk with injectable faults and power losses. A record is durable once [`Journal::append`] has returned without an
//! error.
//!
//! Invariants:
//!
//! * After a restart no appended record is missing or replaced by another one.
//! * Corruption in the middle is never mistaken for a torn end and truncated.
//! * No file is removed before the snapshot that replaces it is durable.
//!
//! Start reading at [`Journal::open`]; `frame.rs` defines the on-disk format of a record.
#![warn(missing_docs)]

mod folder;
mod frame;
mod journal;
mod memory;
mod simulated_disk;

pub use folder::{DiskFolder, Folder};
pub use journal::{Journal, JournalError, Recovered, MAX_SEGMENT_BYTES};
pub use memory::MemoryFolder;
pub use simulated_disk::{CrashOutcome, DiskFault, FaultKind};
