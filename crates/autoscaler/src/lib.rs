//! Scaling decisions of the controller that holds the scaler's role, as a pure state machine.
//!
//! Owners' reports, the platform's lists and answers, and the operator's configuration go in; commands to the platform
//! and updates for the owners come out. Nothing is stored: a new term learns everything from the lists and reports. The
//! design and what was changed of it is in docs/source.md.
//!
//! | step of the design | module |
//! |---|---|
//! | forecast of the arrival rate by a Kalman filter | `arrivals` |
//! | demand and capacity | `load` |
//! | above alpha: quotas first, then new runners | `scaling_decision`, `quotas`, `starts` |
//! | least-occupied used worker, then a fresh one | `placement`, `memory_account` |
//! | below beta after a cooldown: quotas fall | `scaling_decision`, `quotas` |
//! | a runner at quota zero drains and is stopped once nothing is in flight | `draining`, `ending`, `runner_commands` |
//! | ours: eviction where memory is short, and the statement to owners that no worker has room | `eviction`, `start_block` |
//!
//! | message | handled by | changes |
//! |---|---|---|
//! | owner's report | `reports` | arrivals, waiting requests and runner states; decides at once if requests wait |
//! | lists of workers and runners | `listings` | workers, adopted and gone runners |
//! | operator's configuration, evacuated zones | `configuration` | sizes, priorities, which runners drain |
//! | answers to starts and stops | `runner_commands` | runner states, retries, pauses |
//! | time | `evaluation`, `ending` | samples, cooldowns, expired drains and starts |
//!
//! The state consists of parts that each keep an invariant (`function_table`, `runner_table`, `worker_capacity`,
//! `start_queue`, `token_bucket`, `update_log`, `stopped_runners`), put together in `state`. Imports run one way: values,
//! parts, `state`, steps, decision, handlers, and `autoscaler` on top.

mod allowed_regions;
mod arrivals;
mod autoscaler;
mod call_rate;
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
mod regional_runners;
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
