//! The protocol between gateways, controllers and operators' tools: typed messages, each sent as one frame.
//!
//! Values are encoded by position without field names, so the order of fields and variants is part of the protocol.
//! `tests/compatibility` holds captured bytes of every message.

mod compression;
mod frame;
mod functions;
mod identifiers;
mod jobs;
mod leases;
mod message;
mod sent_messages;

pub use compression::{pack, unpack};
pub use frame::{frame, take_frames, FrameError, FrameReader, MAX_FRAME_BYTES};
pub use functions::{
    FunctionReport, FunctionUpdate, RunnerReport, RunnerStage, RunnerUpdate, StartBlock,
    ZoneArrivals,
};
pub use identifiers::{RequestId, UpdateVersion};
pub use jobs::{JobAttempt, JobCompletion, JobResult, JobVerdict, RegisterResponse};
pub use leases::{LeaseOutcome, LeaseRelease, LeaseRequest, RunnerLeases, SeatLease};
pub use message::{Member, Message};
pub use sent_messages::SentMessages;
