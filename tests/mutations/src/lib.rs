//! Mutation testing of the safety mechanisms. Each entry removes one mechanism from a scratch copy of the sources and names
//! the tests that must fail without it.

mod campaign;
mod entry;
mod error;
mod report;
mod runner;
mod tree;
mod workspace;

pub use campaign::{Campaign, TrialResult};
pub use entry::{load_entries, Entry, Replacement};
pub use error::MutationError;
pub use report::{is_expected, table, verdict_text};
pub use runner::{CargoOptions, CargoRunner, Trial, Verdict};
pub use tree::ScratchTree;
pub use workspace::Workspace;
