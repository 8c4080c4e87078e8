//! Reads the workspace's sources and documents, so that tests can check them against the conventions of `CONTRIBUTING.md`.
//!
//! [`Workspace`] is the entry point; [`imports`] and [`names`] analyse the source files of a crate.

pub mod imports;
pub mod names;
mod workspace;

pub use workspace::{SourceFile, Workspace};
