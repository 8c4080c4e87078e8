//! Mutation testing of the safety mechanisms: each entry removes one mechanism from a scratch copy of the sources and
//! names the tests that must fail without it.

mod entry;
mod error;
mod runner;
mod tree;

pub use entry::{load_entries, Entry};
pub use error::MutationError;
pub use runner::{CargoRunner, Verdict};
pub use tree::ScratchTree;
