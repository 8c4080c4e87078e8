//! Scaling decisions of the controller that holds the scaler's role, as a pure state machine.
//!
//! Owners' reports, the platform's lists and answers, and the operator's configuration go in; commands to the platform
//! and updates for the owners come out. Nothing is stored: a new term learns everything from the lists and reports. The
//! design and what was changed of it is in docs/source.md.
//!
//! From the bottom up:
//! - values: `options`, `platform`, `arrivals`, `owner_reports`, `function_configuration`, `memory_account`;
//! - parts of the state, each with its invariant: `function_table`, `runner_table`, `worker_capacity`, `start_queue`,
//!   `token_bucket`, `update_log`, `stopped_runners`, put together in `state`;
//! - steps: `load`, `draining`, `eviction`, `placement`, `start_block`, `starts`, `quotas`;
//! - the decision about a function: `scaling_decision`;
//! - what each message or the time changes: `reports`, `listings`, `configuration`, `runner_commands`, `evaluation`,
//!   `ending`, `updates`;
//! - the coordinator: `autoscaler`.

mod arrivals;
mod autoscaler;
mod configuration;
mod draining;
mod ending;
mod evaluation;
mod eviction;
mod function;
mod function_configuration;
mod function_status;
mod function_table;
mod listings;
mod load;
mod memory_account;
mod options;
mod owner_reports;
mod placement;
mod platform;
mod quotas;
mod reports;
mod runner;
mod runner_commands;
mod runner_table;
mod scaling_decision;
mod start_block;
mod start_queue;
mod starts;
mod state;
mod stopped_runners;
mod token_bucket;
mod update_log;
mod updates;
mod worker_capacity;

pub use autoscaler::Autoscaler;
pub use function_status::FunctionStatus;
pub use options::AutoscalerOptions;
pub use platform::{RunnerCommand, RunnerListing, StartError, StartedRunner, WorkerListing};
