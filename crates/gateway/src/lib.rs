//! The data plane over non-blocking lines: requests come in, get a seat from the keeper of their function, go to
//! a runner, and their answers go back. One thread; nothing waits for a single line.
#![warn(missing_docs)]

mod answers;
mod clients;
mod control;
mod controllers;
mod gateway;
mod jobs;
mod links;
mod options;
mod outcomes;
mod pool;
mod probes;
mod retries;
pub mod runner_connection;
mod runners;
mod tickets;

pub use gateway::run;
pub use options::{GatewayError, GatewayOptions, HttpConventions};
