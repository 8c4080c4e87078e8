//! Accepts connections on listeners.

use super::EventLoop;
use crate::event::Event;
use crate::listeners::ListenerId;
use std::time::{Duration, Instant};

/// Maximum number of connections accepted in a row, so that a burst of them doesn't delay the established ones.
const MAX_ACCEPTS_PER_EVENT: usize = 64;

/// Time for which a listener stops accepting after the system had no descriptor or memory for a connection. Pending connections
/// stay in the backlog, so retrying at once would only use processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl EventLoop {
    /// Accepts pending connections of a listener, and pauses it if the system is out of resources.
    pub(super) fn accept(&mut self, listener: ListenerId, events: &mut Vec<Event>) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let Some(accepted) = self.listeners.accept(listener) else {
                return;
            };
            let (stream, read_limit) = match accepted {
                Ok(accepted) => accepted,
                Err(error) if is_connection_error(&error) => continue,
                Err(_) => return self.paused_listeners.push((listener, Instant::now())),
            };
            if self.connections.len() >= self.max_connections {
                continue;
            }
            if let Ok(id) = self.add(stream, Some(listener), read_limit) {
                events.push(Event::Accepted(listener, id));
            }
        }
        self.listeners.rearm(self.poll.registry(), listener);
    }

    /// Resumes the listeners whose pause is over.
    pub(super) fn resume_accepting(&mut self) {
        if self.paused_listeners.is_empty() {
            return;
        }
        let paused = std::mem::take(&mut self.paused_listeners);
        for (listener, since) in paused {
            if since.elapsed() < ACCEPT_PAUSE {
                self.paused_listeners.push((listener, since));
            } else {
                self.listeners.rearm(self.poll.registry(), listener);
            }
        }
    }
}

/// Whether an accept error concerns only one connection, which its peer has abandoned, rather than the process.
fn is_connection_error(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
            | ErrorKind::PermissionDenied
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkDown
            | ErrorKind::NetworkUnreachable
    )
}
