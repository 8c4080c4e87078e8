//! What the daemons of the data plane and the control plane say to one another. Every message is one frame.
#![warn(missing_docs)]

mod frame;
mod functions;
mod jobs;
mod message;
mod packing;

pub use frame::{frame, take_frames, FrameError, Frames, FRAME_MAX};
pub use functions::{
    FunctionReport, FunctionUpdate, RunnerReport, RunnerStage, RunnerUpdate, StartBlock,
};
pub use jobs::{JobAttempt, JobCompletion, JobResult, JobVerdict, RegisterResponse};
pub use message::{LeaseOutcome, LeaseRelease, LeaseRequest, Member, Message, SeatLease};
pub use packing::{pack, unpack};
