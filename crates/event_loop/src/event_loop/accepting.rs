//! Accepts connections at listeners.

use super::EventLoop;
use crate::event::Event;
use crate::listeners::ListenerId;
use std::time::{Duration, Instant};

/// Most connections that are accepted in a row, so that a storm of them doesn't hold up the established ones.
const MAX_ACCEPTS_PER_EVENT: usize = 64;

/// Time for which a listener accepts nobody after the system had no descriptor or memory for a connection. Those that wait for it are
/// not gone, so asking again at once would only take processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl EventLoop {
    /// Accepts connections that wait at a listener.
    pub(super) fn accept(&mut self, listener: ListenerId, events: &mut Vec<Event>) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let Some(accepted) = self.listeners.accept(listener) else {
                return;
            };
            let (stream, read_limit) = match accepted {
                Ok(accepted) => accepted,
                Err(error) if is_of_one_connection(&error) => continue,
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

    /// Lets listeners accept again whose pause is over.
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

/// Whether an error of accepting concerns one connection, which its peer has given up, and not the process.
fn is_of_one_connection(error: &std::io::Error) -> bool {
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
