//! The configuration and its checks, the daemons' settings, and the plan that the scaler writes.
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
