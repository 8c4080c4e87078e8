//! Reads the workspace's sources and documents, so that tests can hold them to the conventions of `CONTRIBUTING.md`.
//!
//! Begin with [`Workspace`]; [`imports`] and [`names`] each answer one question about a crate's files.

pub mod imports;
pub mod names;
mod workspace;

pub use workspace::{SourceFile, Workspace};
