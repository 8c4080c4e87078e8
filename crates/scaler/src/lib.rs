//! The scaler's decisions after HAS-GPU: forecast, quotas first, least-occupied used worker, fresh
//! worker, calm shrinking. A pure state machine that turns what is seen into the next plan.
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
