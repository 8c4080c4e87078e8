//! The ticket's way through a front: holdings by rank, bids for seats, keepers that lend them,
//! standing, and the retry allowance. Pure state machines: events and time in, actions out.
#![warn(missing_docs)]

mod action;
mod allowance;
mod bids;
mod desk;
mod holding;
mod index;
mod keeping;
mod kept;
mod lending;
mod message;
mod reporting;
mod sending_again;
mod standing;

pub use action::{Action, Refusal, SeatGrant, Ticket, TryEnd};
pub use allowance::Allowance;
pub use desk::Desk;
pub use holding::{Admission, Holding};

pub use message::{
    Award, DeskMessage, FrontReport, FunctionReport, RankCount, Return, RunnerReport,
    DESK_LISTS_MAX,
};
pub use standing::Standing;
