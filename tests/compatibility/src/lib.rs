//! Compatibility of the wire and of stored data between versions: sample values, the scenarios that write whole data
//! folders, and the bytes that an earlier version wrote for them.
//!
//! The files under `fixtures/` were captured once and never change. The samples follow the renames of Rust items; the
//! bytes that they encode to must stay.
#![warn(missing_docs)]

mod controller_folder;
mod core_folder;
mod families;
mod fixture;
mod folder;
mod hex;
mod sample;
pub mod samples;

pub use controller_folder::ControllerScenario;
pub use core_folder::CoreScenario;
pub use families::{families, folders, Family, FolderStage};
pub use fixture::{fixtures_path, HexFixture};
pub use folder::FolderContent;
pub use sample::{sample, Sample};
