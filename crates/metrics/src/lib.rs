//! A daemon's metrics in the OpenMetrics text format of Prometheus, and the HTTP endpoint that serves them.
//!
//! A daemon keeps its metrics in its own state. When it is scraped it fills a [`Snapshot`], which `prometheus-client` renders. So
//! nothing is registered, shared or locked while it serves its other requests.
#![warn(missing_docs)]

mod endpoint;
mod snapshot;

pub use endpoint::{respond, MetricsReader};
pub use snapshot::Snapshot;
