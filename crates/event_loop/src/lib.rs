//! Lines (TCP connections) of a daemon on one thread: what arrives, what is sent, and what ended, without ever
//! waiting for a single connection.
#![warn(missing_docs)]

mod connection;
mod event_loop;
mod timers;

pub use connection::{CloseReason, ConnectionId};
pub use event_loop::{Event, EventLoop, ListenerId};
pub use timers::Timers;
