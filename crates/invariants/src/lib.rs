//! Named invariants that are checked while the daemons run.
//!
//! A promise that the tests show in chosen cases can still break in a case that nobody chose. Each invariant states one promise over the
//! state of a running process. A violation is counted, and logged once for each invariant with the context that explains it; the counts
//! stand in the daemons' status and metrics. A violation also ends the process (or the test) where builds have debug assertions, which is
//! so in all tests, and where [`make_fatal`] was called. A release build goes on: serving with a wrong count is better than not serving.
//!
//! Checks are cheap comparisons of state that is at hand. They never change what the caller does.
#![warn(missing_docs)]

mod invariant;
mod monitor;

pub use invariant::Invariant;
pub use monitor::{check, is_fatal, make_fatal, total_violations, violations};
