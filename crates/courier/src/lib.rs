//! Lines (TCP connections) of a daemon on one thread: what arrives, what is sent, and what ended, without ever
//! waiting for a single line.

mod courier;
mod line;
mod timers;

pub use courier::{Courier, Event, Hatch};
pub use line::{End, LineId};
pub use timers::Timers;
