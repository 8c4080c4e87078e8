//! Non-blocking TCP on one thread. [`EventLoop`] owns every socket of a daemon: it accepts and opens connections, reads
//! into a buffer per connection, writes queued bytes and reports what happened as [`Event`]s. No call blocks on a single
//! peer. [`Timers`] holds the deadlines of the same thread.
//!
//! `mio` only reports readiness. Buffering, back-pressure and closing are the same for every protocol that the daemons
//! speak, so they are implemented once, here. An asynchronous runtime is not used because the daemons' decisions are
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
