//! The scaler's decisions as a pure state machine: reports of keepers and the platform's lists go
//! in; orders to the platform and news for the keepers come out. Nothing is stored.
#![warn(missing_docs)]

mod autoscaler;
mod deciding;
mod demand;
mod describing;
mod ending;
mod function;
mod listing;
mod listing_types;
mod options;
mod ordering;
mod placing;
mod reporting;
mod room;
mod runner;
mod start_block;
mod telling;

pub use autoscaler::Autoscaler;
pub use listing_types::{
    FunctionStatus, RunnerCommand, RunnerListing, StartError, StartedRunner, WorkerListing,
};
pub use options::AutoscalerOptions;
