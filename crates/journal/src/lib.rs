//! A journal: records in numbered segments, with snapshots that stand for older ones.
//!
//! [`Journal`] writes and reads back, over the port [`Folder`]: [`DiskFolder`] is a directory, and [`MemoryFolder`] a simulated
//! disk that fails and loses power as tests tell it to. A record counts once [`Journal::append`] returned without an error.
//!
//! What must never happen:
//!
//! * A record that was appended is missing after a restart, or another one comes in its place.
//! * Damage in the middle is taken for a torn end, and cut off.
//! * A file is removed before the snapshot that stands for it is durable.
//!
//! Begin to read at [`Journal::open`]; `frame.rs` has the form of a record on the disk.
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
