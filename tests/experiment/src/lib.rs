//! Paired experiments: the same days are played by the code as it stands and with one change, and the differences are judged
//! against their own spread.
//!
//! The program that plays a day, and the files of deployments, are arguments: nothing here knows one by name.

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
