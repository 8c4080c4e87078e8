//! Explicit-state model checking of the production state machines: a breadth-first explorer and the models it explores.

pub mod consensus;
mod explorer;
mod fingerprint;
pub mod ownership;
pub mod registers;

pub use explorer::{explore, Counterexample, Limits, Model, Report};
pub use fingerprint::Fingerprinter;
