//! The list of known failures, `KNOWN-RED.txt`: what it names, what a run of the tests gave, and whether the two agree.
//!
//! A known failure is a fault that was found and not yet fixed. Exactly the listed failures are passed over, each is printed, and a
//! listed one that no longer fails must be taken from the list.

mod entry;
mod test_run;
mod verdict;

pub use entry::{parse_list, Kind, KnownFailure, ListError};
pub use test_run::{TestResult, TestRun};
pub use verdict::Verdict;
