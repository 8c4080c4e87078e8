//! One job behind several copies of a request: the function's keeper lets one copy run it and gives all others its
//! answer. What may run once at most is claimed in a register on the controllers' disks before it leaves for a runner.
//! Pure machines; the daemons run them.
#![warn(missing_docs)]

mod action;
mod claim;
mod ending;
mod ends;
mod job;
mod jobs;
mod pass;
mod saying;
mod table;
mod telling;

pub use action::JobAction;
pub use claim::{digest, is_key, register_key, Claim, ClaimState, RunnerId, KEPT_MAX, KEY_MAX};
pub use ends::Ends;
pub use jobs::Jobs;
pub use pass::Pass;
