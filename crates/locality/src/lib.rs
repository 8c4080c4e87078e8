//! Where daemons, workers and runners stand: zones, and the regions that hold them.

mod topology;

pub use topology::{Distance, Topology};
