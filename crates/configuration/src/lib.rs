//! What operators write: the blueprint, its checks, and the daemons' own settings.
#![warn(missing_docs)]

mod bounds;
mod checks;
mod model;
mod plan;
mod settings;

pub use bounds::Bounds;
pub use checks::{check, parse, Fault, TEXT_MAX};
pub use model::{Blueprint, District, DistrictState, Kind, Listing};
pub use plan::{PeerRef, Plan, RunnerEntry, RunnerState, Version};
pub use settings::{read_settings, CoreSettings, FrontSettings, SettingsFault};
