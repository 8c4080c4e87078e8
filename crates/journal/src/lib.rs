//! A log in segments with snapshots beside it. What `append` and `sync` promised is found again.
#![warn(missing_docs)]

mod folder;
mod frame;
mod journal;
mod memory;

pub use folder::{DiskFolder, Folder};
pub use journal::{Journal, JournalError, Recovered, SEGMENTS_MAX};
pub use memory::{CrashOutcome, DiskFault, FaultKind, MemoryFolder};
