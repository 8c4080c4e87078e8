//! Scaling decisions, modelled on HAS-GPU: forecast the demand, raise quotas before starting runners,
//! place runners on the least-occupied worker in use before an empty one, and shrink only after a
//! cooldown. A pure state machine that computes the next plan from an observation of the cluster.
#![warn(missing_docs)]

mod commands;
mod demand;
mod forecast;
mod function_decision;
mod memory_pool;
mod observation;
mod owners;
mod placing;
mod quota_steps;
mod runner_states;
mod scaler;

pub use commands::{CommandPlanner, CommandResult, PlatformCommand};
pub use forecast::Forecast;
pub use function_decision::FunctionDecision;
pub use observation::{FrontObservation, ListedRunner, ListedState, Observation, Worker};
pub use owners::update_owners;
pub use quota_steps::{grow, shrink, RunnerQuota};
pub use scaler::Scaler;
