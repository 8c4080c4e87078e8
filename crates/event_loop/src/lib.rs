//! Non-blocking TCP on one thread. [`EventLoop`] owns every socket of a daemon: it accepts and opens connections, reads
//! into a buffer for each connection and writes what was queued, and reports what happened as [`Event`]s. No call waits
//! for a single peer. [`Timers`] holds the deadlines of the same thread.
//!
//! `mio` alone gives readiness; buffering, back-pressure and the end of a connection are the same for every protocol that
//! the daemons speak, so they stand here once. An asynchronous runtime is not used because the daemons' decisions are
//! made by state machines that are driven from one loop.
#![warn(missing_docs)]

mod connect_backoff;
mod connection;
mod event;
mod event_loop;
mod listeners;
mod timers;

pub use connect_backoff::ConnectBackoff;
pub use connection::{CloseReason, ConnectionId};
pub use event::Event;
pub use event_loop::EventLoop;
pub use listeners::ListenerId;
pub use timers::Timers;
