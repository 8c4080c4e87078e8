//! What the daemons of the data plane and the control plane say to one another. Every message is one frame.
#![warn(missing_docs)]

mod frame;
mod functions;
mod jobs;
mod message;
mod packing;

pub use frame::{frame, take_frames, FrameError, Frames, FRAME_MAX};
pub use functions::{
    FunctionNews, FunctionReport, RunnerNews, RunnerReport, RunnerStage, StartBlock,
};
pub use jobs::{JobEnd, JobMark, JobResult, JobVerdict, RegisterSaid};
pub use message::{Bid, Grant, Member, Message, Outcome, Release};
pub use packing::{pack, unpack};
