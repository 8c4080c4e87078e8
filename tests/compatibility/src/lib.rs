//! Compatibility of wire messages and stored data between versions: sample values, scenarios that write whole data
//! folders, and the bytes that an earlier version wrote for both.
//!
//! The files under `fixtures/` were captured once and never change. Samples may follow renames of Rust items, but must
//! still encode to the same bytes.
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
