//! The scaler's decisions as a pure state machine: reports of keepers and the platform's lists go
//! in; orders to the platform and news for the keepers come out. Nothing is stored.
#![warn(missing_docs)]

mod deciding;
mod demand;
mod describing;
mod ending;
mod function;
mod launcher;
mod listing;
mod options;
mod ordering;
mod placing;
mod reporting;
mod room;
mod runner;
mod sights;
mod start_block;
mod telling;

pub use launcher::Launcher;
pub use options::Options;
pub use sights::{FunctionNote, Order, RunnerSight, StartFault, WorkerSight};
