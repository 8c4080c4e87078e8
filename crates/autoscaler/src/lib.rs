//! Scaling decisions of the controller that holds the scaler role, as a pure state machine.
//!
//! Inputs are owners' reports, the platform's lists and responses, and the operator's configuration. Outputs are commands
//! to the platform and updates for the owners. Nothing is persisted: in a new term, the state is rebuilt from the lists and
//! reports. The design and the deviations from it are described in docs/source.md.
//!
//! | step of the design | module |
//! |---|---|
//! | forecast of the arrival rate by a Kalman filter | `arrivals` |
//! | demand and capacity | `load` |
//! | above alpha: raise quotas first, then start runners | `scaling_decision`, `quotas`, `starts` |
//! | least-occupied used worker, then an unused one | `placement`, `memory_account` |
//! | below beta after a cooldown: lower quotas | `scaling_decision`, `quotas` |
//! | a runner at quota zero is drained, and stopped once nothing is in flight | `draining`, `ending`, `runner_commands` |
//! | added to the design: eviction if memory is short, notice to owners that no worker has room | `eviction`, `start_block` |
//!
//! | input | handled by | effect |
//! |---|---|---|
//! | owner's report | `reports` | arrivals, waiting requests, runner states; immediate decision if requests are waiting |
//! | lists of workers and runners | `listings` | workers, adopted and removed runners |
//! | operator's configuration, evacuated zones | `configuration` | sizes, priorities, runners to drain |
//! | responses to starts and stops | `runner_commands` | runner states, retries, pauses |
//! | time | `evaluation`, `ending` | samples, cooldowns, expired drains and starts |
//!
//! The state consists of parts that each maintain an invariant (`function_table`, `runner_table`, `worker_capacity`,
//! `start_queue`, `token_bucket`, `update_log`, `stopped_runners`) and are combined in `state`. Modules depend on each other
//! in one direction only, from the bottom: values, parts, `state`, steps, decision, handlers, `autoscaler`.

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
