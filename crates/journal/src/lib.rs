//! A log in segments with snapshots beside it. What `append` and `sync` promised is found again.
#![warn(missing_docs)]

mod folder;
mod frame;
mod log_file;
mod memory;

pub use folder::{DiskFolder, Folder};
pub use log_file::{Journal, JournalError, Recovered, SEGMENTS_MAX};
pub use memory::{CrashOutcome, DiskFault, FaultKind, MemoryFolder};
