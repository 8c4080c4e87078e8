//! A daemon's figures in the Prometheus text format, and the HTTP responses that bear them.
//!
//! A daemon keeps its figures in its own state. On a request it fills a [`Snapshot`], which `prometheus-client` renders: nothing is
//! registered, shared or locked while requests are served.
#![warn(missing_docs)]

mod endpoint;
mod snapshot;

pub use endpoint::{respond, MetricsReader};
pub use snapshot::Snapshot;
