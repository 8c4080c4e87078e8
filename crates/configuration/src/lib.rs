//! What operators write: the configuration, its checks, and the daemons' own settings.
#![warn(missing_docs)]

mod bounds;
mod checks;
mod model;
mod plan;
mod settings;

pub use bounds::Bounds;
pub use checks::{check, parse, ValidationError, MAX_TEXT_BYTES};
pub use model::{Configuration, FunctionSpec, RequestKind, Zone, ZoneState};
pub use plan::{PeerRef, Plan, RunnerEntry, RunnerState, Version};
pub use settings::{read_settings, CoreSettings, DaemonSettingsError, FrontSettings};
