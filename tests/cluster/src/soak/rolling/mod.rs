//! A soak of many gateways under operators' work in series: one gateway after the other is stopped and started again, while runners leave,
//! configurations change and settings are read anew; in half of the runs gateways are killed as well. Clients keep their connections until
//! the process at the other end is gone.

mod clients;
mod run;
mod series;

pub use run::{run, RollingOptions, RollingReport};
