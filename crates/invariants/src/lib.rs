//! Named invariants that are checked at run time by the daemons.
//!
//! Tests verify a property only in the cases they cover. An invariant states a property of the state of a running process and
//! checks it in every case that occurs. Violations are counted, and the first one of each invariant is logged with a context that
//! explains it. The counts are part of the daemons' status and metrics. In builds with debug assertions, which includes all
//! tests, and after [`make_fatal`] was called, a violation panics, which ends the process or the test. Otherwise a release build
//! continues: it is better to serve with a wrong count than not to serve.
//!
//! Checks are cheap comparisons of available state. They never change what the caller does.
#![warn(missing_docs)]

mod invariant;
mod monitor;

pub use invariant::Invariant;
pub use monitor::{check, is_fatal, make_fatal, total_violations, violations};
