//! Paired experiments: the same days run with and without a change, and a significance test is applied to the differences.
//!
//! A day is a workload scenario of the benchmark. The benchmark program and the deployment files are arguments; nothing
//! here refers to a particular one.

pub mod arm;
pub mod checkout;
pub mod comparison;
pub mod error;
pub mod plan;
pub mod play;
pub mod plot;
pub mod report;
pub mod statistics;
pub mod table;
