//! The protocol between gateways, controllers and operator tools: typed messages, each sent as one frame.
//!
//! Values are encoded by position, without field names, so the order of fields and variants is part of the protocol.
//! `tests/compatibility` holds captured encodings of every message.
//!
//! Terms used here: the *scaler* is the controller that currently holds the scaler role. The *owner* of a function is the
//! gateway that leases the seats of its runners. A *seat* is the right to run one request at a runner.

mod compression;
mod frame;
mod functions;
mod identifiers;
mod jobs;
mod leases;
mod member;
mod message;
mod ownership;
mod sent_messages;
mod tenants;

pub use compression::{deflate, inflate};
pub use frame::{frame, take_frames, FrameError, FrameReader, MAX_FRAME_BYTES};
pub use functions::{
    FunctionReport, FunctionUpdate, RunnerReport, RunnerStage, RunnerUpdate, StartBlock,
    ZoneArrivals,
};
pub use identifiers::{RequestId, UpdateVersion};
pub use jobs::{JobAttempt, JobCompletion, JobResult, JobVerdict, RegisterResponse};
pub use leases::{
    LeaseOutcome, LeaseRelease, LeaseRequest, RequestTenant, RunnerLeases, SeatLease,
    ABORTED_DURATION_MS,
};
pub use member::Member;
pub use message::Message;
pub use ownership::{
    FunctionHandover, GatewayLeases, OwnershipChange, OwnershipTable, RelayedLeaseRequest,
    RunnerHandover, SeatHandover,
};
pub use sent_messages::SentMessages;
pub use tenants::{TenantUsage, TENANT_SUPPORT_FLAG};
