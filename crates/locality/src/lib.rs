//! Locality of daemons, workers and runners: zones and the regions that contain them.

mod topology;

pub use topology::{Distance, Topology};
