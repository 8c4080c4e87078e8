//! Soak test of rolling restarts with many gateways: they are restarted one after the other while runners drain, configurations
//! change and settings are reloaded; in half of the runs gateways are also killed. Clients keep their connections until the
//! gateway closes them.

mod clients;
mod run;
mod series;

pub use run::{run, RollingOptions, RollingReport};
