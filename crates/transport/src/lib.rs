//! Messages between daemons (encoded with speedy over TCP, with a version and a maximum length), a monotonic
//! clock that includes suspended time, and helpers for HTTP with JSON.
#![warn(missing_docs)]

mod clock;
mod frame;
mod http;
mod inbound;
mod links;
mod listening;
mod message;
mod voters;

pub use clock::{now_ms, unix_ms};
pub use frame::{decode, encode, FrameError, MAX_FRAME_BYTES, WIRE_VERSION};
pub use http::{call, json, read_body, serve, text, CallError, CallResponse};
pub use inbound::{Handler, Responder, WireCounts};
pub use links::Links;
pub use listening::reject_new_connections;
pub use message::{
    ConfigurationUpdate, Envelope, PeerMessage, PeerRole, PlanUpdate, ReplicaDigest, StateUpdate,
};
pub use voters::WireVoters;
