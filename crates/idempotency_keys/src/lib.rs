//! Claims on work that must never run twice, their keys, and the seal on a runner's answer.
#![warn(missing_docs)]

mod claim;
mod key;
mod seal;

pub use claim::Claim;
pub use key::{IdempotencyKey, IdempotencyKeyError};
pub use seal::{digest_hex, seal};
