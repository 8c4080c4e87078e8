//! Lines (TCP connections) of a daemon on one thread: what arrives, what is sent, and what ended, without ever
//! waiting for a single line.
#![warn(missing_docs)]

mod event_loop;
mod line;
mod timers;

pub use event_loop::{Event, EventLoop, Hatch};
pub use line::{End, LineId};
pub use timers::Timers;
