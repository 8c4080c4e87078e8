//! Idempotency keys and their claims, for requests that must never run twice, and the seal of a runner's response.
#![warn(missing_docs)]

mod claim;
mod key;
mod seal;

pub use claim::Claim;
pub use key::{IdempotencyKey, IdempotencyKeyError};
pub use seal::{digest_hex, seal};
